package org.fuchsiawharf.core.limits;

/**
 * Increases the limit additively while responses begin promptly and decreases it multiplicatively when they are late.
 *
 * <p>A late response indicates a queue at the endpoint that load reports, being older, do not show yet. Refused calls
 * also decrease the limit. Independently of the adaptive limit, the expected occupancy may exceed the endpoint's slots
 * only by a short queue. The limit is between 1 and 512. Confined to the decision loop.
 */
public final class AdaptiveConcurrencyLimit implements ConcurrencyLimit {
    private static final double INITIAL_LIMIT = 32;
    private static final double MAX_LIMIT = 512;
    private static final double DECREASE_FACTOR = 0.9;
    private static final double DELAY_WEIGHT = 0.2;
    private static final double MIN_DELAY_DRIFT = 0.002;
    private static final double LATE_DELAY_FACTOR = 2;
    private static final double LATE_DELAY_MARGIN_NANOS = 100e6;
    private static final long MIN_DECREASE_INTERVAL_NANOS = 100_000_000;

    private final double maxQueueShare;
    private double limit = INITIAL_LIMIT;
    private double smoothedDelayNanos;
    private double minDelayNanos;
    private long lastDecreaseNanos = Long.MIN_VALUE / 2;

    /**
     * Creates a limit.
     *
     * @param maxQueueShare the number of calls that may wait at the endpoint, as a share of its slots
     */
    public AdaptiveConcurrencyLimit(double maxQueueShare) {
        this.maxQueueShare = maxQueueShare;
    }

    @Override
    public boolean hasRoom(int inFlight, double occupancy, int slots) {
        return inFlight < limit && occupancy < slots * (1 + maxQueueShare);
    }

    @Override
    public void onResponseStart(int inFlight, long delayNanos, long nowNanos) {
        updateDelays(delayNanos);
        if (smoothedDelayNanos > LATE_DELAY_FACTOR * minDelayNanos + LATE_DELAY_MARGIN_NANOS) {
            decrease(inFlight, nowNanos);
        } else if (inFlight + 1 >= limit) {
            limit = Math.min(MAX_LIMIT, limit + 1 / limit);
        }
    }

    @Override
    public void onPushback(int inFlight, long nowNanos) {
        decrease(inFlight, nowNanos);
    }

    private void updateDelays(long delayNanos) {
        if (minDelayNanos == 0) {
            minDelayNanos = delayNanos;
            smoothedDelayNanos = delayNanos;
        }
        smoothedDelayNanos += DELAY_WEIGHT * (delayNanos - smoothedDelayNanos);
        minDelayNanos = delayNanos < minDelayNanos
                ? delayNanos
                : minDelayNanos + MIN_DELAY_DRIFT * (delayNanos - minDelayNanos);
    }

    private void decrease(int inFlight, long nowNanos) {
        if (nowNanos - lastDecreaseNanos >= MIN_DECREASE_INTERVAL_NANOS) {
            lastDecreaseNanos = nowNanos;
            limit = Math.max(1, DECREASE_FACTOR * Math.min(limit, inFlight));
        }
    }
}
