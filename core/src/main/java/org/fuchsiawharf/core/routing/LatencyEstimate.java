package org.fuchsiawharf.core.routing;

/**
 * Estimates a duration's mean and deviation from samples.
 *
 * <p>Both are exponentially weighted, as the round-trip estimate of RFC 6298. The first samples weigh as a plain
 * average. Confined to one thread.
 */
public final class LatencyEstimate {
    private static final double WEIGHT = 0.1;

    private double mean;
    private double deviation;
    private int count;

    /**
     * Creates an estimate that has a prior but no sample.
     *
     * @param priorNanos the mean to report before the first sample, in nanoseconds
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
        double weight = Math.max(WEIGHT, 1.0 / count);
        deviation += weight * (Math.abs(nanos - mean) - deviation);
        mean += weight * (nanos - mean);
    }

    /** Forgets every sample but keeps the mean as the prior. */
    public void reset() {
        count = 0;
    }

    /**
     * Gets the mean.
     *
     * @return nanoseconds
     */
    public double getMean() {
        return mean;
    }

    /**
     * Gets a bound that most samples stay below.
     *
     * @param deviations the number of mean deviations above the mean; may be negative
     * @return nanoseconds, at least a quarter of the mean
     */
    public double getBound(double deviations) {
        return Math.max(mean / 4, mean + deviations * deviation);
    }

    /**
     * Gets the number of samples since the start or the last reset.
     *
     * @return the count
     */
    public int getCount() {
        return count;
    }
}
