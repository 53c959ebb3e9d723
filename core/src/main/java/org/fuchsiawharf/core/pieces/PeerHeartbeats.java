package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

/**
 * Tracks which instances wait for pieces that run here, and selects those to which a heartbeat is due.
 *
 * <p>An instance that waits suspects this one after {@link #SILENCE_BOUND_NANOS} without a message. It is therefore
 * sent a heartbeat every second tick, however many connections this instance has: both sides rely on the constants of
 * this class alone, never on state that the other side does not see. An instance that does not wait needs only the
 * backlogs; its heartbeats become less frequent with the number of connections, to bound their cost, down to one in
 * {@link #MAX_TICKS} ticks.
 *
 * <p>Confined to the decision loop.
 */
final class PeerHeartbeats {
    /** Interval between ticks, at which heartbeats are sent and silent owners are detected. */
    static final long TICK_NANOS = 100_000_000L;
    /** Time without a message after which a waiting instance suspects an owner; covers two heartbeats and a pause. */
    static final long SILENCE_BOUND_NANOS = 550_000_000L;
    /** Time without a message after which an instance that the store no longer lists is taken to be down. */
    static final long LIVENESS_BOUND_NANOS = 6_000_000_000L;

    /** Maximum ticks between two heartbeats to any instance; less than the liveness bound. */
    private static final long MAX_TICKS = 50;
    /** Ticks between two heartbeats to an instance that waits for pieces. */
    private static final long WAITING_TICKS = 2;
    /** Ticks between two heartbeats of an owner to an instance that does not wait; it relies on the backlogs. */
    private static final long OWNER_TICKS = 2;
    /** Ticks between two heartbeats of any other instance to one that does not wait. */
    private static final long NON_OWNER_TICKS = 10;
    /** Number of connections above which heartbeats to instances that do not wait are sent less often. */
    private static final int FULL_RATE_CONNECTIONS = 16;

    /** The unfinished pieces by instance and request id. */
    private final Map<String, Map<String, Set<PieceId>>> unfinishedByPeer = new HashMap<>();

    private long ticks;

    void onSubmitted(String peer, List<PieceOrder> orders) {
        for (PieceOrder order : orders) {
            unfinishedByPeer
                    .computeIfAbsent(peer, p -> new HashMap<>())
                    .computeIfAbsent(order.id().requestId(), r -> new HashSet<>())
                    .add(order.id());
        }
    }

    void onEnded(String peer, PieceId id) {
        Map<String, Set<PieceId>> unfinished = unfinishedByPeer.get(peer);
        Set<PieceId> ofRequest = unfinished == null ? null : unfinished.get(id.requestId());
        if (ofRequest != null && ofRequest.remove(id) && ofRequest.isEmpty()) {
            removeRequest(peer, id.requestId());
        }
    }

    void onCancelled(String peer, String requestId) {
        removeRequest(peer, requestId);
    }

    private void removeRequest(String peer, String requestId) {
        Map<String, Set<PieceId>> unfinished = unfinishedByPeer.get(peer);
        if (unfinished != null && unfinished.remove(requestId) != null && unfinished.isEmpty()) {
            unfinishedByPeer.remove(peer);
        }
    }

    /**
     * Advances by one tick and selects the instances to which a heartbeat is due.
     *
     * @param connected gets the connected instances; called only if a heartbeat can be due; not null
     * @param ownsService whether this instance is the owner of a service
     * @return the names of the instances, never null
     */
    List<String> selectDue(Supplier<Collection<String>> connected, boolean ownsService) {
        ticks++;
        long minIntervalTicks = ownsService ? OWNER_TICKS : NON_OWNER_TICKS;
        boolean dueToWaiting = ticks % WAITING_TICKS == 0 && !unfinishedByPeer.isEmpty();
        if (!dueToWaiting && ticks % minIntervalTicks != 0) {
            return List.of();
        }
        Collection<String> names = connected.get();
        long slowdown = 1 + names.size() / FULL_RATE_CONNECTIONS;
        boolean dueToAll = ticks % Math.min(MAX_TICKS, slowdown * minIntervalTicks) == 0;
        return names.stream()
                .filter(peer -> dueToAll || (dueToWaiting && unfinishedByPeer.containsKey(peer)))
                .toList();
    }
}
