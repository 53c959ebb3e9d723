package org.fuchsiawharf.core.routing;

/**
 * Estimates the mean and the mean deviation of a duration from samples.
 *
 * <p>Both are exponentially weighted moving averages, as in the round-trip estimate of RFC 6298. The first samples
 * are weighted equally. Confined to one thread.
 */
public final class LatencyEstimate {
    private static final double MIN_WEIGHT = 0.1;

    private double mean;
    private double deviation;
    private int count;

    /**
     * Creates an estimate with a prior and no samples.
     *
     * @param priorNanos the mean before the first sample, in nanoseconds
     */
    public LatencyEstimate(double priorNanos) {
        mean = priorNanos;
        deviation = priorNanos / 2;
    }

    /**
     * Adds a sample.
     *
     * @param nanos the duration, in nanoseconds
     */
    public void add(double nanos) {
        count = count == Integer.MAX_VALUE ? count : count + 1;
        if (count == 1) {
            mean = nanos;
            deviation = nanos / 2;
            return;
        }
        double weight = Math.max(MIN_WEIGHT, 1.0 / count);
        deviation += weight * (Math.abs(nanos - mean) - deviation);
        mean += weight * (nanos - mean);
    }

    /** Discards all samples and keeps the current mean as the prior. */
    public void reset() {
        count = 0;
    }

    /**
     * Gets the mean.
     *
     * @return the mean in nanoseconds
     */
    public double getMean() {
        return mean;
    }

    /**
     * Gets a bound at a number of mean deviations above the mean.
     *
     * @param deviations the number of mean deviations, may be negative
     * @return the bound in nanoseconds, at least a quarter of the mean
     */
    public double getBound(double deviations) {
        return Math.max(mean / 4, mean + deviations * deviation);
    }

    /**
     * Gets the number of samples since creation or the last reset.
     *
     * @return the count
     */
    public int getCount() {
        return count;
    }
}
