package org.fuchsiawharf.core.member;

import java.util.List;

/**
 * Selects the instances of an availability zone that watch the store for the others.
 *
 * <p>Answers the load of watches on the store: if every instance watched, every change would be read once by each
 * instance, and the waits that end without a change would grow with the fleet as well. Instances that know the same
 * members select the same watchers without exchanging messages; a larger instance is preferred.
 *
 * <p>Confined to the decision loop.
 */
public final class WatcherSelector {
    /** Watchers of one availability zone; the others follow all of them, so that one can fail unnoticed. */
    private static final int WATCHERS_PER_ZONE = 2;

    private static final String ROLE = "store-watcher";

    private final MemberTable members;

    /**
     * Creates a selector.
     *
     * @param members the live instances, not null
     */
    public WatcherSelector(MemberTable members) {
        this.members = members;
    }

    /**
     * Selects the watchers of the availability zone of this instance.
     *
     * @return the watchers, at least one; this instance is among them if it is selected; never null
     */
    public List<Member> getWatchers() {
        String zone = members.getSelf().zone();
        return members.rankByCapacity(ROLE, zone, 0).stream()
                .filter(member -> member.zone().equals(zone))
                .limit(WATCHERS_PER_ZONE)
                .toList();
    }

    /**
     * Checks whether this instance is a watcher.
     *
     * @return true if it is
     */
    public boolean isWatcher() {
        return getWatchers().contains(members.getSelf());
    }
}
