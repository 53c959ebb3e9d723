package org.fuchsiawharf.core.health;

import java.util.Arrays;
import java.util.List;
import java.util.function.Function;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.LatencyEstimate;
import org.fuchsiawharf.core.routing.ServicePool;

/**
 * Ejects endpoints that fail several times in a row or are several times slower than the median of their pool.
 *
 * <p>At most a fixed share of a pool is ejected, so that a fault common to all endpoints ejects few of them. Failing
 * endpoints of other availability zones are exempt from this bound while an endpoint of the own zone is usable.
 * Ejection times grow exponentially. After an ejection time one probe at a time is allowed, and a successful probe
 * readmits the endpoint with a slow start. Confined to the decision loop.
 */
public final class OutlierEjection implements HealthPolicy {
    private static final int MAX_CONSECUTIVE_FAILURES = 3;
    private static final int MIN_GAP_SAMPLES = 5;
    private static final int MIN_CALL_SAMPLES = 3;
    private static final double SLOW_FACTOR = 3.5;
    private static final double MIN_EXCESS_NANOS = 15e6;
    private static final double MAX_EJECTED_SHARE = 0.34;
    private static final long FIRST_EJECTION_NANOS = 2_000_000_000L;
    private static final long MAX_EJECTION_NANOS = 30_000_000_000L;
    private static final int MAX_DOUBLINGS = 4;
    private static final long EJECTION_RESET_NANOS = 60_000_000_000L;

    @Override
    public boolean onToken(ServicePool pool, EndpointState state, long gapNanos, long nowNanos) {
        state.getTokenGap().add(gapNanos);
        if (state.isEjected()) {
            return evaluateProbe(pool, state, EndpointState::getTokenGap, MIN_GAP_SAMPLES, nowNanos);
        }
        return isSlow(pool, state, EndpointState::getTokenGap, MIN_GAP_SAMPLES) && tryEject(pool, state, nowNanos);
    }

    @Override
    public boolean onSuccess(ServicePool pool, EndpointState state, boolean streaming, long nowNanos) {
        state.onSuccess();
        if (nowNanos - state.getSlowStartFrom() > EJECTION_RESET_NANOS && state.getSlowStartFrom() != Long.MIN_VALUE) {
            state.resetEjections();
        }
        if (streaming) {
            return false;
        }
        if (state.isEjected()) {
            return evaluateProbe(pool, state, EndpointState::getServiceTime, 1, nowNanos);
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
        if (!unreachable && failures < MAX_CONSECUTIVE_FAILURES) {
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
        for (EndpointState state : pool.getMembers()) {
            state.allowProbe(nowNanos);
        }
    }

    private boolean evaluateProbe(
            ServicePool pool,
            EndpointState state,
            Function<EndpointState, LatencyEstimate> measure,
            int minSamples,
            long nowNanos) {
        if (measure.apply(state).getCount() < minSamples) {
            return false;
        }
        if (isSlow(pool, state, measure, minSamples)) {
            ejectWithBackoff(state, nowNanos);
            return true;
        }
        state.readmit(nowNanos);
        return false;
    }

    private static boolean isSlow(
            ServicePool pool, EndpointState state, Function<EndpointState, LatencyEstimate> measure, int minSamples) {
        LatencyEstimate estimate = measure.apply(state);
        if (estimate.getCount() < minSamples) {
            return false;
        }
        double median = medianOfOthers(pool, state, measure, minSamples);
        double mean = estimate.getMean();
        return median > 0 && mean > SLOW_FACTOR * median && mean - median > MIN_EXCESS_NANOS;
    }

    private static double medianOfOthers(
            ServicePool pool, EndpointState state, Function<EndpointState, LatencyEstimate> measure, int minSamples) {
        List<EndpointState> members = pool.getMembers();
        double[] means = new double[members.size()];
        int count = 0;
        for (EndpointState member : members) {
            if (member != state && !member.isEjected() && measure.apply(member).getCount() >= minSamples) {
                means[count++] = measure.apply(member).getMean();
            }
        }
        if (count == 0) {
            return 0;
        }
        Arrays.sort(means, 0, count);
        return means[count / 2];
    }

    // In a partition all endpoints of other availability zones fail while those of the own zone remain usable.
    private static boolean isPossiblePartition(ServicePool pool, EndpointState state) {
        if (state.isOwnZone()) {
            return false;
        }
        for (EndpointState member : pool.getMembers()) {
            if (member.isOwnZone() && member.isUsable()) {
                return true;
            }
        }
        return false;
    }

    private static boolean tryEject(ServicePool pool, EndpointState state, long nowNanos) {
        int ejectedCount = 0;
        for (EndpointState member : pool.getMembers()) {
            ejectedCount += member.isEjected() ? 1 : 0;
        }
        if (ejectedCount + 1 > Math.max(1, (int) (pool.getMembers().size() * MAX_EJECTED_SHARE))
                || pool.getMembers().size() == 1) {
            return false;
        }
        ejectWithBackoff(state, nowNanos);
        return true;
    }

    private static void ejectWithBackoff(EndpointState state, long nowNanos) {
        int doublings = Math.min(MAX_DOUBLINGS, state.getEjections());
        state.eject(nowNanos + Math.min(MAX_EJECTION_NANOS, FIRST_EJECTION_NANOS << doublings));
        // A probe is evaluated by its own samples only.
        state.getTokenGap().reset();
        state.getServiceTime().reset();
    }
}
