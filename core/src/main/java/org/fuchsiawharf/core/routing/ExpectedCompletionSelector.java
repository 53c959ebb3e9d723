package org.fuchsiawharf.core.routing;

import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint that is expected to complete a call first, among a bounded sample.
 *
 * <p>The sample is the prefix's owner, some endpoints of the own availability zone and some of the others. The
 * score adds the crossing between zones, subtracts what a cached prefix saves, and grows for an endpoint that
 * has just been readmitted. A random sample keeps instances with the same stale reports from choosing the same
 * endpoint together. Allocates nothing. Confined to the decision loop.
 */
public final class ExpectedCompletionSelector implements EndpointSelector {
    private static final int OWN_SAMPLES = 2;
    private static final int OTHER_SAMPLES = 2;
    private static final int EXTRA_SAMPLES = 8;
    private static final double SLOW_START_NANOS = 4e9;
    private static final double SLOW_START_FLOOR = 0.2;

    private final SplittableRandom random;
    private final double crossingNanos;
    private final double prefixSavingNanos;

    /**
     * Creates a selector.
     *
     * @param random the source of samples, not null
     * @param crossingNanos the cost of leaving the own availability zone, in nanoseconds
     * @param prefixSavingNanos what a cached prefix saves, in nanoseconds
     */
    public ExpectedCompletionSelector(SplittableRandom random, double crossingNanos, double prefixSavingNanos) {
        this.random = random;
        this.crossingNanos = crossingNanos;
        this.prefixSavingNanos = prefixSavingNanos;
    }

    @Override
    public @Nullable EndpointState select(
            ServicePool pool, long prefixKey, @Nullable EndpointState avoid, long nowNanos) {
        EndpointState owner = pool.getOwner(prefixKey);
        EndpointState best = better(pool, null, owner, owner, prefixKey, avoid, nowNanos);
        best = sample(pool, best, pool.getOwn(), OWN_SAMPLES, owner, prefixKey, avoid, nowNanos);
        best = sample(pool, best, pool.getOther(), OTHER_SAMPLES, owner, prefixKey, avoid, nowNanos);
        if (best == null) {
            best = sample(pool, null, pool.getOwn(), EXTRA_SAMPLES, owner, prefixKey, avoid, nowNanos);
            best = sample(pool, best, pool.getOther(), EXTRA_SAMPLES, owner, prefixKey, avoid, nowNanos);
        }
        return best == null && avoid != null && avoid.isAvailable() ? avoid : best;
    }

    private @Nullable EndpointState sample(
            ServicePool pool,
            @Nullable EndpointState start,
            EndpointState[] from,
            int samples,
            @Nullable EndpointState owner,
            long prefixKey,
            @Nullable EndpointState avoid,
            long nowNanos) {
        EndpointState best = start;
        if (from.length == 0) {
            return best;
        }
        // Steps through the array from a random place, so that no endpoint is drawn twice.
        int count = Math.min(samples, from.length);
        int place = random.nextInt(from.length);
        int step = from.length <= samples ? 1 : 1 + random.nextInt(from.length - 1);
        for (int i = 0; i < count; i++) {
            best = better(pool, best, from[place], owner, prefixKey, avoid, nowNanos);
            place = (place + step) % from.length;
        }
        return best;
    }

    private @Nullable EndpointState better(
            ServicePool pool,
            @Nullable EndpointState best,
            @Nullable EndpointState candidate,
            @Nullable EndpointState owner,
            long prefixKey,
            @Nullable EndpointState avoid,
            long nowNanos) {
        if (candidate == null || candidate == avoid || !candidate.isAvailable()) {
            return best;
        }
        if (best == null) {
            return candidate;
        }
        double current = score(pool, best, owner, prefixKey, nowNanos);
        return score(pool, candidate, owner, prefixKey, nowNanos) < current ? candidate : best;
    }

    private double score(
            ServicePool pool, EndpointState state, @Nullable EndpointState owner, long prefixKey, long nowNanos) {
        double score = state.getExpectedNanos(pool.getUsual().getMean(), pool.getUsualOthers())
                / slowStartShare(state, nowNanos);
        if (!state.isOwnZone()) {
            score += crossingNanos;
        }
        if (state == owner || state.hasPrefix(prefixKey)) {
            score -= prefixSavingNanos;
        }
        return score;
    }

    private static double slowStartShare(EndpointState state, long nowNanos) {
        if (state.getSlowStartFrom() == Long.MIN_VALUE) {
            return 1;
        }
        double age = (nowNanos - state.getSlowStartFrom()) / SLOW_START_NANOS;
        return Math.min(1, SLOW_START_FLOOR + (1 - SLOW_START_FLOOR) * age);
    }
}
