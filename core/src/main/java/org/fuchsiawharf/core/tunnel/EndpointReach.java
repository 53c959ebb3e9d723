package org.fuchsiawharf.core.tunnel;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Decides which endpoints this instance connects with directly.
 *
 * <p>Answers the load of an instance that is cut off from endpoints which other instances reach. A failed connect alone
 * does not tell such a cut from an endpoint that is down. An endpoint counts as cut off if a direct connect to it failed
 * and a peer connected with it, both within {@link #EVIDENCE_NANOS}; it counts as reached again once a direct connect
 * succeeds. Several connects to different endpoints that succeed in a row show that the cut has ended.
 *
 * <p>Confined to one thread.
 */
public final class EndpointReach {
    /** Longest time between a failed direct connect and a connect by a peer that together show a cut. */
    private static final long EVIDENCE_NANOS = 1_000_000_000L;
    /** Time for which peers are not asked for an endpoint that none of them could reach. */
    private static final long UNREACHABLE_NANOS = 500_000_000L;
    /** Time without a connect after which the state of an endpoint is discarded. */
    private static final long RETENTION_NANOS = 10_000_000_000L;
    /** Successful direct connects in a row, to endpoints that were cut off, that show the end of the cut. */
    private static final int CONNECTS_AFTER_CUT = 2;

    private final Map<String, State> states = new HashMap<>();
    private final Deque<String> probeOrder = new ArrayDeque<>();
    private int connectsInRow;

    private static final class State {
        private long directFailedNanos = Long.MIN_VALUE / 2;
        private long tunnelOpenedNanos = Long.MIN_VALUE / 2;
        private long unreachableUntilNanos = Long.MIN_VALUE / 2;
        private long usedNanos;
        private boolean cutOff;
    }

    /** Creates a table in which every endpoint is reached directly. */
    public EndpointReach() {}

    /**
     * Checks whether an endpoint is connected with directly.
     *
     * @param endpoint the name of the endpoint, not null
     * @return false if this instance is cut off from the endpoint
     */
    public boolean isDirect(String endpoint) {
        State state = states.get(endpoint);
        return state == null || !state.cutOff;
    }

    /**
     * Checks whether peers are asked to connect with an endpoint.
     *
     * @param endpoint the name of the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return false if the peers that were asked shortly before could not reach the endpoint either
     */
    public boolean mayTunnel(String endpoint, long nowNanos) {
        State state = states.get(endpoint);
        return state == null || state.unreachableUntilNanos <= nowNanos;
    }

    /**
     * Gets the number of endpoints that this instance is cut off from.
     *
     * @return the count, at least 0
     */
    public int getCutOffCount() {
        return probeOrder.size();
    }

    // -----------------------------------------------------------------------

    /**
     * Records a direct connect that failed.
     *
     * @param endpoint the name of the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if this instance is cut off from the endpoint from now on
     */
    public boolean onDirectFailed(String endpoint, long nowNanos) {
        State state = use(endpoint, nowNanos);
        state.directFailedNanos = nowNanos;
        connectsInRow = 0;
        return update(endpoint, state);
    }

    /**
     * Records that a peer connected with an endpoint.
     *
     * @param endpoint the name of the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if this instance is cut off from the endpoint from now on
     */
    public boolean onTunnelOpened(String endpoint, long nowNanos) {
        State state = use(endpoint, nowNanos);
        state.tunnelOpenedNanos = nowNanos;
        return update(endpoint, state);
    }

    /**
     * Records that the peers that were asked could not reach an endpoint either.
     *
     * @param endpoint the name of the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     */
    public void onUnreachable(String endpoint, long nowNanos) {
        use(endpoint, nowNanos).unreachableUntilNanos = nowNanos + UNREACHABLE_NANOS;
    }

    /**
     * Records a direct connect that succeeded.
     *
     * @param endpoint the name of the endpoint, not null
     * @return true if this instance was cut off from the endpoint until now
     */
    public boolean onDirectConnected(String endpoint) {
        State state = states.remove(endpoint);
        boolean cutOff = state != null && state.cutOff;
        if (cutOff) {
            probeOrder.remove(endpoint);
            connectsInRow++;
            if (connectsInRow >= CONNECTS_AFTER_CUT) {
                states.clear();
                probeOrder.clear();
            }
        }
        return cutOff;
    }

    /** Records that the direct connect of a probe failed. */
    public void onProbeFailed() {
        connectsInRow = 0;
    }

    /**
     * Selects the endpoint whose direct connection is to be probed next; each in turn.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the name of an endpoint that this instance is cut off from, null if there is none
     */
    public @Nullable String selectProbe(long nowNanos) {
        removeUnused(nowNanos);
        String next = probeOrder.poll();
        if (next != null) {
            probeOrder.add(next);
        }
        return next;
    }

    private void removeUnused(long nowNanos) {
        states.entrySet().removeIf(entry -> nowNanos - entry.getValue().usedNanos > RETENTION_NANOS);
        probeOrder.removeIf(endpoint -> !states.containsKey(endpoint));
    }

    private State use(String endpoint, long nowNanos) {
        if (!states.containsKey(endpoint)) {
            removeUnused(nowNanos);
        }
        State state = states.computeIfAbsent(endpoint, e -> new State());
        state.usedNanos = nowNanos;
        return state;
    }

    private boolean update(String endpoint, State state) {
        boolean evident = Math.abs(state.directFailedNanos - state.tunnelOpenedNanos) <= EVIDENCE_NANOS;
        if (evident && !state.cutOff) {
            state.cutOff = true;
            probeOrder.add(endpoint);
            return true;
        }
        return false;
    }
}
