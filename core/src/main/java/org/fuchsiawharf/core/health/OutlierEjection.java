package org.fuchsiawharf.core.health;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.LatencyEstimate;
import org.fuchsiawharf.core.routing.ServicePool;

/**
 * Ejects endpoints that are unreachable, fail several times in a row or are several times slower than the median of
 * their pool.
 *
 * <p>At most a fixed share of a pool is ejected, so that a fault common to all endpoints ejects few of them; a pool
 * of at least two endpoints permits one ejection even if it exceeds the share. Failing endpoints of other availability
 * zones are exempt from this bound while an endpoint of the instance's zone is usable.
 * Ejection times grow exponentially. After an ejection time one probe at a time is allowed, and a successful probe
 * readmits the endpoint with a slow start. Confined to the decision loop.
 */
public final class OutlierEjection implements HealthPolicy {
    private static final int EJECTION_FAILURES = 3;
    private static final int MIN_INTERVAL_SAMPLES = 5;
    private static final int MIN_CALL_SAMPLES = 3;
    private static final double SLOW_FACTOR = 3.5;
    private static final double MIN_EXCESS_NANOS = 15e6;
    private static final double MAX_EJECTED_SHARE = 0.34;
    private static final long FIRST_EJECTION_NANOS = 2_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 30_000_000_000L;
    private static final int MAX_DOUBLINGS = 4;
    private static final long EJECTION_RESET_NANOS = 60_000_000_000L;

    @Override
    public boolean onToken(ServicePool pool, EndpointState state, long intervalNanos, long nowNanos) {
        state.getTokenInterval().add(intervalNanos);
        if (state.isEjected()) {
            return ejectOrReadmit(pool, state, EndpointState::getTokenInterval, MIN_INTERVAL_SAMPLES, nowNanos);
        }
        return isSlow(pool, state, EndpointState::getTokenInterval, MIN_INTERVAL_SAMPLES)
                && tryEject(pool, state, nowNanos);
    }

    @Override
    public boolean onSuccess(ServicePool pool, EndpointState state, boolean streaming, long nowNanos) {
        state.onSuccess();
        if (nowNanos - state.getReadmittedNanos() > EJECTION_RESET_NANOS
                && state.getReadmittedNanos() != Long.MIN_VALUE) {
            state.resetEjections();
        }
        if (streaming) {
            return false;
        }
        if (state.isEjected()) {
            return ejectOrReadmit(pool, state, EndpointState::getServiceTime, 1, nowNanos);
        }
        return isSlow(pool, state, EndpointState::getServiceTime, MIN_CALL_SAMPLES) && tryEject(pool, state, nowNanos);
    }

    @Override
    public boolean onFailure(ServicePool pool, EndpointState state, CallFailure failure, long nowNanos) {
        if (failure == CallFailure.LEAVING) {
            return false;
        }
        // A refused call is pushback, to which the concurrency limit reacts, and does not indicate a fault.
        if (failure == CallFailure.REFUSED) {
            return false;
        }
        int failures = state.onFailure();
        boolean unreachable = failure == CallFailure.NOT_SENT;
        if (state.isEjected()) {
            ejectWithBackoff(state, nowNanos);
            return false;
        }
        if (!unreachable && failures < EJECTION_FAILURES) {
            return false;
        }
        if (isPossiblePartition(pool, state)) {
            ejectWithBackoff(state, nowNanos);
            return true;
        }
        return tryEject(pool, state, nowNanos);
    }

    @Override
    public void allowProbes(ServicePool pool, long nowNanos) {
        for (EndpointState state : pool.getEndpoints()) {
            state.allowProbe(nowNanos);
        }
    }

    // Returns true if the endpoint was ejected again.
    private boolean ejectOrReadmit(
            ServicePool pool,
            EndpointState state,
            Function<EndpointState, LatencyEstimate> estimateOf,
            int minSamples,
            long nowNanos) {
        if (estimateOf.apply(state).getCount() < minSamples) {
            return false;
        }
        if (isSlow(pool, state, estimateOf, minSamples)) {
            ejectWithBackoff(state, nowNanos);
            return true;
        }
        state.readmit(nowNanos);
        return false;
    }

    private static boolean isSlow(
            ServicePool pool,
            EndpointState state,
            Function<EndpointState, LatencyEstimate> estimateOf,
            int minSamples) {
        LatencyEstimate estimate = estimateOf.apply(state);
        if (estimate.getCount() < minSamples) {
            return false;
        }
        double median = medianOfOthers(pool, state, estimateOf, minSamples);
        double mean = estimate.getMean();
        return median > 0 && mean > SLOW_FACTOR * median && mean - median > MIN_EXCESS_NANOS;
    }

    private static double medianOfOthers(
            ServicePool pool,
            EndpointState state,
            Function<EndpointState, LatencyEstimate> estimateOf,
            int minSamples) {
        List<EndpointState> endpoints = pool.getEndpoints();
        double[] means = new double[endpoints.size()];
        int count = 0;
        for (EndpointState endpoint : endpoints) {
            if (endpoint != state
                    && !endpoint.isEjected()
                    && estimateOf.apply(endpoint).getCount() >= minSamples) {
                means[count++] = estimateOf.apply(endpoint).getMean();
            }
        }
        if (count == 0) {
            return 0;
        }
        Arrays.sort(means, 0, count);
        return means[count / 2];
    }

    // In a partition all endpoints of other availability zones fail while those of the instance's zone remain usable.
    private static boolean isPossiblePartition(ServicePool pool, EndpointState state) {
        if (state.isOwnZone()) {
            return false;
        }
        for (EndpointState endpoint : pool.getEndpoints()) {
            if (endpoint.isOwnZone() && endpoint.isUsable()) {
                return true;
            }
        }
        return false;
    }

    private static boolean tryEject(ServicePool pool, EndpointState state, long nowNanos) {
        int ejectedCount = 0;
        for (EndpointState endpoint : pool.getEndpoints()) {
            ejectedCount += endpoint.isEjected() ? 1 : 0;
        }
        if (ejectedCount + 1 > Math.max(1, (int) (pool.getEndpoints().size() * MAX_EJECTED_SHARE))
                || pool.getEndpoints().size() == 1) {
            return false;
        }
        ejectWithBackoff(state, nowNanos);
        return true;
    }

    private static void ejectWithBackoff(EndpointState state, long nowNanos) {
        int doublings = Math.min(MAX_DOUBLINGS, state.getEjections());
        state.eject(nowNanos + Math.min(MAX_EJECTION_NANOS, FIRST_EJECTION_NANOS << doublings));
        // A probe is evaluated by its own samples only.
        state.getTokenInterval().reset();
        state.getServiceTime().reset();
    }
}
