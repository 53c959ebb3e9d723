package org.fuchsiawharf.core.routing;

import java.util.SplittableRandom;

import org.jspecify.annotations.Nullable;

/**
 * Selects from a bounded sample of endpoints the one with the earliest expected completion of a call.
 *
 * <p>The sample consists of the prefix's endpoint on the hash ring and of random endpoints of the instance's own and of
 * the other availability zones. If none of them is available, a larger sample is drawn; the endpoint to avoid is
 * selected last. The lowest score is selected: the expected time to completion, which is raised for an endpoint in its
 * slow start, plus the cost of leaving the zone, minus the saving by a cached prefix. Where endpoints state the duration
 * of work, the expected time follows what they state, and the prefix may also go to the next endpoint on the hash ring, so
 * that a slow or full endpoint does not hold up the requests of a prefix. Random sampling keeps instances
 * with the same stale reports from all selecting the same endpoint. A selection allocates no memory. Confined to the
 * decision loop.
 */
public final class ExpectedCompletionSelector implements EndpointSelector {
    private static final int OWN_ZONE_SAMPLES = 2;
    private static final int OTHER_ZONE_SAMPLES = 2;
    private static final int FALLBACK_SAMPLES = 8;
    private static final double SLOW_START_NANOS = 4e9;
    private static final double MIN_SLOW_START_SHARE = 0.2;
    /** Part of the saving that is expected at the next endpoint on the ring, which has the prefix less often. */
    private static final double NEXT_PREFIX_SHARE = 0.5;
    /** Cost of an endpoint in a suspected zone, beyond any expected time, so that it is selected last. */
    private static final double SUSPECTED_ZONE_NANOS = 1e12;

    private final SplittableRandom random;
    private final double crossZoneNanos;
    private final double prefixSavingNanos;
    private final Selection selection = new Selection();

    /**
     * Creates a selector.
     *
     * @param random the random generator for sampling, not null
     * @param crossZoneNanos the cost of a call to another availability zone, in nanoseconds
     * @param prefixSavingNanos the time saved by a cached prefix, in nanoseconds
     */
    public ExpectedCompletionSelector(SplittableRandom random, double crossZoneNanos, double prefixSavingNanos) {
        this.random = random;
        this.crossZoneNanos = crossZoneNanos;
        this.prefixSavingNanos = prefixSavingNanos;
    }

    @Override
    public @Nullable EndpointState select(
            ServicePool pool, long prefixKey, @Nullable EndpointState avoid, long nowNanos) {
        return select(pool, prefixKey, avoid, nowNanos, null);
    }

    @Override
    public @Nullable EndpointState select(
            ServicePool pool, long prefixKey, @Nullable EndpointState avoid, InputPlace inputs, long nowNanos) {
        return select(pool, prefixKey, avoid, nowNanos, inputs);
    }

    private @Nullable EndpointState select(
            ServicePool pool,
            long prefixKey,
            @Nullable EndpointState avoid,
            long nowNanos,
            @Nullable InputPlace inputs) {
        selection.begin(pool, prefixKey, avoid, nowNanos, inputs);
        selection.consider(selection.prefixEndpoint);
        selection.consider(selection.nextPrefixEndpoint);
        sample(pool.getOwnZoneEndpoints(), OWN_ZONE_SAMPLES);
        sample(pool.getOtherZoneEndpoints(), OTHER_ZONE_SAMPLES);
        if (selection.best == null || selection.bestScore >= SUSPECTED_ZONE_NANOS) {
            sample(pool.getOwnZoneEndpoints(), FALLBACK_SAMPLES);
            sample(pool.getOtherZoneEndpoints(), FALLBACK_SAMPLES);
        }
        boolean onlyAvoidedAvailable = selection.best == null
                && avoid != null
                && avoid.isAvailable()
                && avoid.getRequestLimit().maySend(nowNanos);
        return onlyAvoidedAvailable ? avoid : selection.best;
    }

    private void sample(EndpointState[] candidates, int samples) {
        if (candidates.length == 0) {
            return;
        }
        // A random start and a constant step rarely visit an endpoint twice.
        int count = Math.min(samples, candidates.length);
        int index = random.nextInt(candidates.length);
        int step = candidates.length <= samples ? 1 : 1 + random.nextInt(candidates.length - 1);
        for (int i = 0; i < count; i++) {
            selection.consider(candidates[index]);
            index = (index + step) % candidates.length;
        }
    }

    /**
     * The state of the current selection, with the best candidate so far.
     *
     * <p>One object is reused by all selections to avoid allocation.
     */
    private final class Selection {
        private ServicePool pool = new ServicePool("none");
        private @Nullable EndpointState prefixEndpoint;
        private @Nullable EndpointState nextPrefixEndpoint;
        private @Nullable InputPlace inputs;
        private @Nullable EndpointState avoid;
        private @Nullable EndpointState best;
        private long prefixKey;
        private long nowNanos;
        private double bestScore;

        private void begin(
                ServicePool servicePool,
                long key,
                @Nullable EndpointState avoided,
                long now,
                @Nullable InputPlace inputPlace) {
            pool = servicePool;
            inputs = inputPlace;
            prefixEndpoint = servicePool.getPrefixEndpoint(key);
            nextPrefixEndpoint = prefixEndpoint != null && servicePool.isDurationStated()
                    ? servicePool.getNextPrefixEndpoint(key, prefixEndpoint)
                    : null;
            avoid = avoided;
            best = null;
            prefixKey = key;
            nowNanos = now;
        }

        private void consider(@Nullable EndpointState candidate) {
            if (candidate == null
                    || candidate == avoid
                    || !candidate.isAvailable()
                    || !candidate.getRequestLimit().maySend(nowNanos)) {
                return;
            }
            double score = score(candidate);
            if (best == null || score < bestScore) {
                best = candidate;
                bestScore = score;
            }
        }

        private double score(EndpointState state) {
            boolean stated = pool.isDurationStated();
            double expectedNanos = stated
                    ? pool.getStatedNanos(state, nowNanos)
                    : state.getExpectedNanos(pool.getServiceTime().getMean(), pool.getMeanOthersInFlight());
            double score = expectedNanos / slowStartShare(state, nowNanos) + getZoneCostNanos(state);
            if (pool.isInSuspectedZone(state, nowNanos)) {
                score += SUSPECTED_ZONE_NANOS;
            }
            return score
                    - getPrefixShare(state) * prefixSavingNanos * (stated ? pool.getDurationRatio(state, nowNanos) : 1);
        }

        private double getPrefixShare(EndpointState state) {
            boolean first = state == prefixEndpoint || state.hasPrefix(prefixKey);
            return first ? 1 : state == nextPrefixEndpoint ? NEXT_PREFIX_SHARE : 0;
        }

        private double getZoneCostNanos(EndpointState state) {
            InputPlace place = pool.isDurationStated() ? inputs : null;
            double transferNanos =
                    place == null || place.zone().equals(state.getEndpoint().zone()) ? 0 : place.transferCostNanos();
            return transferNanos + (state.isOwnZone() ? 0 : crossZoneNanos);
        }
    }

    private static double slowStartShare(EndpointState state, long nowNanos) {
        long startNanos =
                Math.max(state.getReadmittedNanos(), state.getRequestLimit().getColdUntilNanos());
        if (startNanos == Long.MIN_VALUE) {
            return 1;
        }
        double age = Math.max(0, (nowNanos - startNanos) / SLOW_START_NANOS);
        return Math.min(1, MIN_SLOW_START_SHARE + (1 - MIN_SLOW_START_SHARE) * age);
    }
}
