package org.fuchsiawharf.core.pieces;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

/**
 * Measures for how long the slots of the endpoints of one pool are idle while pieces are queued.
 *
 * <p>Each slot in use has no entry; a slot that has ended a call has one. Confined to the decision loop.
 */
final class SlotIdleTimes {
    private static final long NOT_QUEUED = Long.MIN_VALUE;

    /** For each idle slot of an endpoint, the total of {@link #getWaitedNanos} when it became idle. */
    private final Map<String, Deque<Long>> waitedAtIdleByEndpoint = new HashMap<>();

    private long waitedNanos;
    private long queuedSinceNanos = NOT_QUEUED;

    /** Updates whether pieces are queued; called at the end of each event that can change it. */
    void onQueueChanged(boolean isEmpty, long now) {
        waitedNanos = getWaitedNanos(now);
        queuedSinceNanos = isEmpty ? NOT_QUEUED : now;
    }

    /** Ends the use of a slot. */
    void onCallEnded(String endpoint, long now) {
        waitedAtIdleByEndpoint
                .computeIfAbsent(endpoint, e -> new ArrayDeque<>())
                .add(getWaitedNanos(now));
    }

    /**
     * Starts the use of the slot that has been idle for the longest time.
     *
     * @param endpoint the endpoint's name, not null
     * @param now the current time, in nanoseconds
     * @return the part of the slot's idle time in which pieces were queued, in nanoseconds; 0 for its first call
     */
    long onCallStarted(String endpoint, long now) {
        Deque<Long> idleSlots = waitedAtIdleByEndpoint.get(endpoint);
        if (idleSlots == null) {
            return 0;
        }
        long waitedAtIdle = idleSlots.remove();
        if (idleSlots.isEmpty()) {
            waitedAtIdleByEndpoint.remove(endpoint);
        }
        return getWaitedNanos(now) - waitedAtIdle;
    }

    /** Gets the total time in which pieces were queued. */
    private long getWaitedNanos(long now) {
        return queuedSinceNanos == NOT_QUEUED ? waitedNanos : waitedNanos + now - queuedSinceNanos;
    }
}
