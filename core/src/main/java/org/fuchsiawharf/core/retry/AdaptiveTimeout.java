package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Limits the time to a response by the estimated latency and by a share of the remaining time that leaves time for a
 * second attempt, and limits the time between tokens by its estimate.
 *
 * <p>Immutable and thread-safe.
 */
public final class AdaptiveTimeout implements TimeoutPolicy {
    private static final int MIN_SAMPLES = 10;
    private static final double DEVIATIONS = 10;
    private static final long MIN_RESPONSE_TIMEOUT_NANOS = 250_000_000;
    private static final long MIN_TOKEN_TIMEOUT_NANOS = 400_000_000;
    private static final double DEADLINE_SHARE = 0.4;

    @Override
    public long getResponseTimeout(LatencyEstimate estimate, long remainingNanos) {
        long shareNanos = (long) (remainingNanos * DEADLINE_SHARE);
        if (estimate.getCount() < MIN_SAMPLES) {
            return shareNanos;
        }
        return Math.min(shareNanos, Math.max(MIN_RESPONSE_TIMEOUT_NANOS, (long) estimate.getBound(DEVIATIONS)));
    }

    @Override
    public long getTokenTimeout(LatencyEstimate estimate) {
        return Math.max(MIN_TOKEN_TIMEOUT_NANOS, (long) estimate.getBound(DEVIATIONS));
    }
}
