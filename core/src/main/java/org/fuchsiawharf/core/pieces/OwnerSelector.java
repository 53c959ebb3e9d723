package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.member.WatcherSelector;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Selects the owner of a pool among the reachable instances.
 *
 * <p>The pool of one availability zone is owned by an instance of that zone, unless all its instances leave. A suspected
 * instance is excluded for a fixed time, a leaving instance until its heartbeats report otherwise.
 *
 * <p>Confined to the decision loop.
 */
final class OwnerSelector {
    /** Time for which a suspected instance is excluded. */
    private static final long SUSPICION_NANOS = 1_500_000_000L;
    /** Connected candidates for the owner of a pool, overall and in the instance's zone; several can fail at once. */
    private static final int CONNECTED_OWNERS = 3;

    private final MemberTable members;
    private final PoolLayout layout;
    private final WatcherSelector watchers;
    private final PeerPort peers;
    private final TimerService timers;
    private final Map<String, Peer> peersByName = new HashMap<>();
    private boolean selfLeaving;

    /** The state of another instance. */
    private static final class Peer {
        private long lastReceivedNanos;
        private long suspectedUntilNanos;
        private boolean leaving;
    }

    OwnerSelector(MemberTable members, PoolLayout layout, PeerPort peers, TimerService timers) {
        this.members = members;
        this.layout = layout;
        this.watchers = new WatcherSelector(members);
        this.peers = peers;
        this.timers = timers;
    }

    /** Ranks the instances as owners of a pool, regardless of reachability. */
    List<Member> rank(PoolKey pool) {
        return members.rankByCapacity(pool.service(), pool.zone(), layout.getNeededCapacity(pool));
    }

    /**
     * Gets the candidates in order of preference: the owner and, unless the pool belongs to another availability zone,
     * the owner within this instance's zone and this instance. Empty if the zone of the pool has instances but none can
     * be reached, since its endpoints probably cannot be reached either.
     */
    List<Member> getCandidates(PoolKey pool) {
        List<Member> ranked = rank(pool);
        Set<Member> candidates = new LinkedHashSet<>();
        boolean confined = !pool.coversAllZones()
                && ranked.stream().anyMatch(m -> m.zone().equals(pool.zone()) && !isMemberLeaving(m));
        ranked.stream()
                .filter(m -> !confined || m.zone().equals(pool.zone()))
                .filter(this::isEligible)
                .findFirst()
                .ifPresent(candidates::add);
        if (pool.coversAllZones() || pool.zone().equals(members.getSelf().zone())) {
            ranked.stream()
                    .filter(this::isInOwnZone)
                    .filter(this::isEligible)
                    .findFirst()
                    .ifPresent(candidates::add);
            if (!selfLeaving || candidates.isEmpty()) {
                candidates.add(members.getSelf());
            }
        }
        return List.copyOf(candidates);
    }

    /** Gets the first candidate, null if there is none. */
    @Nullable
    Member getPreferred(PoolKey pool) {
        List<Member> candidates = getCandidates(pool);
        return candidates.isEmpty() ? null : candidates.get(0);
    }

    /** Checks whether the preferred owner of a pool is an instance with the given name. */
    boolean isPreferred(PoolKey pool, String name) {
        Member preferred = getPreferred(pool);
        return preferred != null && preferred.name().equals(name);
    }

    /** Checks whether this instance ranks first for a pool, overall or in its zone, regardless of reachability. */
    boolean isOwnerOf(PoolKey pool) {
        Member self = members.getSelf();
        List<Member> ranked = rank(pool);
        return ranked.get(0).equals(self)
                || (pool.coversAllZones()
                        && ranked.stream()
                                .filter(this::isInOwnZone)
                                .findFirst()
                                .filter(self::equals)
                                .isPresent());
    }

    /**
     * Selects the instances to be connected with: the watchers of the store in this zone and the first candidates for
     * each pool, without this instance.
     */
    Set<Member> selectConnections(Collection<PoolKey> pools) {
        Set<Member> selected = new LinkedHashSet<>(watchers.getWatchers());
        for (PoolKey pool : pools) {
            List<Member> ranked = rank(pool);
            ranked.stream().limit(CONNECTED_OWNERS).forEach(selected::add);
            if (pool.coversAllZones()) {
                ranked.stream()
                        .filter(this::isInOwnZone)
                        .limit(CONNECTED_OWNERS)
                        .forEach(selected::add);
            }
        }
        selected.remove(members.getSelf());
        return selected;
    }

    boolean isInOwnZone(Member member) {
        return member.zone().equals(members.getSelf().zone());
    }

    long getLastReceivedNanos(String member) {
        return peer(member).lastReceivedNanos;
    }

    boolean isLeaving(String member) {
        return peer(member).leaving;
    }

    // -----------------------------------------------------------------------

    void onReceived(String member) {
        peer(member).lastReceivedNanos = timers.now();
    }

    /** Suspects an instance; returns true if it was not suspected before. */
    boolean suspect(String member) {
        Peer peer = peer(member);
        boolean changed = peer.suspectedUntilNanos <= timers.now();
        peer.suspectedUntilNanos = timers.now() + SUSPICION_NANOS;
        return changed;
    }

    /** Sets whether another instance is leaving; returns true if that changed. */
    boolean setLeaving(String member, boolean leaving) {
        Peer peer = peer(member);
        boolean changed = peer.leaving != leaving;
        peer.leaving = leaving;
        return changed;
    }

    void setSelfLeaving() {
        selfLeaving = true;
    }

    void onMembersChanged() {
        peersByName.keySet().removeIf(name -> members.getMember(name) == null);
    }

    private boolean isMemberLeaving(Member member) {
        return member.equals(members.getSelf()) ? selfLeaving : isLeaving(member.name());
    }

    private boolean isEligible(Member member) {
        if (member.equals(members.getSelf())) {
            return !selfLeaving;
        }
        Peer peer = peersByName.get(member.name());
        boolean excluded = peer != null && (peer.leaving || peer.suspectedUntilNanos > timers.now());
        return !excluded && peers.isConnected(member.name());
    }

    private Peer peer(String name) {
        return peersByName.computeIfAbsent(name, n -> new Peer());
    }
}
