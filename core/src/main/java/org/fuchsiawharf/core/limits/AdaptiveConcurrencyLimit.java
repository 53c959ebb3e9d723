package org.fuchsiawharf.core.limits;

/**
 * Raises the limit additively while answers begin at once, and lowers it multiplicatively when they begin late.
 *
 * <p>A late beginning shows a queue at the endpoint that reports, being old, do not show yet. Refused calls lower the
 * limit too. Independently of the learned limit, the expected occupancy may exceed the endpoint's slots only by a
 * short queue. The limit lies between 1 and 512. Confined to the decision loop.
 */
public final class AdaptiveConcurrencyLimit implements ConcurrencyLimit {
    private static final double INITIAL = 32;
    private static final double MAX = 512;
    private static final double DECREASE = 0.9;
    private static final double DELAY_WEIGHT = 0.2;
    private static final double LEAST_DRIFT = 0.002;
    private static final double LATE_FACTOR = 2;
    private static final double LATE_NANOS = 100e6;
    private static final long DECREASE_PAUSE_NANOS = 100_000_000;

    private final double queueShare;
    private double limit = INITIAL;
    private double delayNanos;
    private double leastNanos;
    private long lastDecreaseNanos = Long.MIN_VALUE / 2;

    /**
     * Creates a limit.
     *
     * @param queueShare the calls allowed to wait at the endpoint, as a share of its slots
     */
    public AdaptiveConcurrencyLimit(double queueShare) {
        this.queueShare = queueShare;
    }

    @Override
    public boolean hasRoom(int inFlight, double occupancy, int slots) {
        return inFlight < limit && occupancy < slots * (1 + queueShare);
    }

    @Override
    public void onAnswer(int inFlight, long nanos, long nowNanos) {
        learn(nanos);
        if (delayNanos > LATE_FACTOR * leastNanos + LATE_NANOS) {
            decrease(inFlight, nowNanos);
        } else if (inFlight + 1 >= limit) {
            limit = Math.min(MAX, limit + 1 / limit);
        }
    }

    @Override
    public void onPushback(int inFlight, long nowNanos) {
        decrease(inFlight, nowNanos);
    }

    private void learn(long nanos) {
        if (leastNanos == 0) {
            leastNanos = nanos;
            delayNanos = nanos;
        }
        delayNanos += DELAY_WEIGHT * (nanos - delayNanos);
        leastNanos = nanos < leastNanos ? nanos : leastNanos + LEAST_DRIFT * (nanos - leastNanos);
    }

    private void decrease(int inFlight, long nowNanos) {
        if (nowNanos - lastDecreaseNanos >= DECREASE_PAUSE_NANOS) {
            lastDecreaseNanos = nowNanos;
            limit = Math.max(1, DECREASE * Math.min(limit, inFlight));
        }
    }
}
