package org.fuchsiawharf.core.limits;

/**
 * Estimates how long a queue takes to move on by one.
 *
 * <p>Learns from the times at which entries leave while others wait. Confined to the decision loop.
 */
public final class DepartureRate {
    private static final double WEIGHT = 0.1;
    private static final double MAX_INTERVAL_NANOS = 1e9;

    private double intervalNanos;
    private long lastNanos = Long.MIN_VALUE;

    /**
     * Notes that an entry left.
     *
     * @param nowNanos the time
     * @param othersWait whether others still wait
     */
    public void onDeparture(long nowNanos, boolean othersWait) {
        if (lastNanos != Long.MIN_VALUE) {
            double sample = Math.min(MAX_INTERVAL_NANOS, nowNanos - lastNanos);
            intervalNanos += WEIGHT * (sample - intervalNanos);
        }
        lastNanos = othersWait ? nowNanos : Long.MIN_VALUE;
    }

    /**
     * Gets the expected wait behind a number of entries.
     *
     * @param entries the entries ahead
     * @return nanoseconds
     */
    public double getWaitNanos(int entries) {
        return entries * intervalNanos;
    }
}
