package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Bounds an attempt by what is usual, and so that a second attempt still fits into the deadline.
 *
 * <p>Immutable and thread-safe.
 */
public final class AdaptiveTimeout implements TimeoutPolicy {
    private static final int MIN_SAMPLES = 10;
    private static final double DEVIATIONS = 10;
    private static final long ANSWER_FLOOR_NANOS = 250_000_000;
    private static final long TOKEN_FLOOR_NANOS = 400_000_000;
    private static final double DEADLINE_SHARE = 0.4;

    @Override
    public long getAnswerTimeout(LatencyEstimate estimate, long remainingNanos) {
        long share = (long) (remainingNanos * DEADLINE_SHARE);
        if (estimate.getCount() < MIN_SAMPLES) {
            return share;
        }
        return Math.min(share, Math.max(ANSWER_FLOOR_NANOS, (long) estimate.getBound(DEVIATIONS)));
    }

    @Override
    public long getTokenTimeout(LatencyEstimate estimate) {
        return Math.max(TOKEN_FLOOR_NANOS, (long) estimate.getBound(DEVIATIONS));
    }
}
