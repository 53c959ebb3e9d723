package org.fuchsiawharf.core.tunnel;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.random.RandomGenerator;

import org.fuchsiawharf.core.member.Member;
import org.jspecify.annotations.Nullable;

/**
 * Selects the peers that connect this instance with endpoints.
 *
 * <p>Answers the load of many instances that are cut off at once and use the few others: of two peers drawn at random,
 * the one through which this instance has fewer tunnels, for its capacity, is selected. A peer that is cut off itself,
 * is busy or does not respond is excluded for a time that depends on the reason.
 *
 * <p>Confined to one thread.
 */
public final class TunnelPeers {
    /** Time for which a peer is excluded that has no direct connections itself. */
    private static final long CUT_OFF_NANOS = 500_000_000L;
    /** Time for which a peer is excluded that accepts no more tunnels. */
    private static final long BUSY_NANOS = 100_000_000L;
    /** Time for which a peer is excluded that does not respond. */
    private static final long SILENT_NANOS = 1_000_000_000L;

    private final String self;
    private final RandomGenerator random;
    private final Map<String, Integer> openByPeer = new HashMap<>();
    private final Map<String, Long> excludedUntilNanos = new HashMap<>();
    private List<Member> members = List.of();

    /**
     * Creates a selector without peers.
     *
     * @param self the name of this instance, not null
     * @param random the source of random numbers, used by this selector only, not null
     */
    public TunnelPeers(String self, RandomGenerator random) {
        this.self = self;
        this.random = random;
    }

    /**
     * Gets the name of this instance.
     *
     * @return the name, never null
     */
    public String getSelf() {
        return self;
    }

    /**
     * Replaces the peers.
     *
     * @param live every live instance; this instance is ignored; not null
     */
    public void setMembers(Collection<Member> live) {
        members = live.stream().filter(member -> !member.name().equals(self)).toList();
        excludedUntilNanos.keySet().removeIf(name -> members.stream()
                .noneMatch(m -> m.name().equals(name)));
    }

    /**
     * Selects a peer.
     *
     * @param tried the names of the peers that have been asked for the same connection, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the peer, null if none is left
     */
    public @Nullable Member select(Set<String> tried, long nowNanos) {
        List<Member> candidates = new ArrayList<>();
        for (Member member : members) {
            if (!tried.contains(member.name())
                    && excludedUntilNanos.getOrDefault(member.name(), Long.MIN_VALUE) <= nowNanos) {
                candidates.add(member);
            }
        }
        if (candidates.isEmpty()) {
            return null;
        }
        Member first = candidates.get(random.nextInt(candidates.size()));
        Member second = candidates.get(random.nextInt(candidates.size()));
        return load(second) < load(first) ? second : first;
    }

    private double load(Member member) {
        return (openByPeer.getOrDefault(member.name(), 0) + 1) / member.capacity();
    }

    // -----------------------------------------------------------------------

    /**
     * Records that a tunnel through a peer has been opened, or is about to be.
     *
     * @param peer the name of the peer, not null
     */
    public void onOpened(String peer) {
        openByPeer.merge(peer, 1, Integer::sum);
    }

    /**
     * Records that a tunnel through a peer has ended.
     *
     * @param peer the name of the peer, not null
     */
    public void onClosed(String peer) {
        openByPeer.computeIfPresent(peer, (name, open) -> open > 1 ? open - 1 : null);
    }

    /**
     * Records that a peer did not respond.
     *
     * @param peer the name of the peer, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onSilent(String peer, long nowNanos) {
        excludedUntilNanos.put(peer, nowNanos + SILENT_NANOS);
    }

    /**
     * Records that a peer refused a tunnel.
     *
     * @param peer the name of the peer, not null
     * @param refusal the reason, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onRefused(String peer, TunnelRefusal refusal, long nowNanos) {
        long nanos =
                switch (refusal) {
                    case CUT_OFF -> CUT_OFF_NANOS;
                    case BUSY -> BUSY_NANOS;
                    case GONE, UNREACHABLE -> 0;
                };
        if (nanos > 0) {
            excludedUntilNanos.put(peer, nowNanos + nanos);
        }
    }
}
