package org.fuchsiawharf.core.limits;

/**
 * Estimates the wait in a queue from the interval between departures.
 *
 * <p>Only intervals during which other entries wait are sampled. Confined to the decision loop.
 */
public final class QueueWaitEstimator {
    private static final double SMOOTHING = 0.1;
    private static final double MAX_INTERVAL_NANOS = 1e9;

    private double intervalNanos;
    private long lastDepartureNanos = Long.MIN_VALUE;

    /**
     * Records that an entry left the queue.
     *
     * @param nowNanos the current time, in nanoseconds
     * @param othersWaiting whether other entries are still waiting
     */
    public void onDeparture(long nowNanos, boolean othersWaiting) {
        if (lastDepartureNanos != Long.MIN_VALUE) {
            double sample = Math.min(MAX_INTERVAL_NANOS, nowNanos - lastDepartureNanos);
            intervalNanos += SMOOTHING * (sample - intervalNanos);
        }
        lastDepartureNanos = othersWaiting ? nowNanos : Long.MIN_VALUE;
    }

    /**
     * Gets the expected wait of an entry behind a number of others.
     *
     * @param entries the number of entries ahead
     * @return the wait in nanoseconds
     */
    public double getWaitNanos(int entries) {
        return entries * intervalNanos;
    }
}
