package org.fuchsiawharf.core.limits;

/**
 * Admits a request only if its expected wait and work fit into the time until its deadline.
 *
 * <p>The expected wait also has a fixed maximum: under sustained overload a longer queue adds delay but no throughput,
 * and takes longer to empty afterwards. Immutable and thread-safe.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
    private static final int QUEUE_CAPACITY = 256;
    private static final double MAX_QUEUE_TIME_FACTOR = 2;

    private final double maxWaitNanos;
    private final double minWorkShare;

    /**
     * Creates a policy.
     *
     * @param maxWaitNanos the maximum expected wait of an admitted request, in nanoseconds
     * @param minWorkShare the share of the remaining work's typical time that must fit into the remaining time
     *     for a request to continue; with a greater share, requests that will miss their deadline are stopped earlier
     */
    public DeadlineAdmission(double maxWaitNanos, double minWorkShare) {
        this.maxWaitNanos = maxWaitNanos;
        this.minWorkShare = minWorkShare;
    }

    @Override
    public boolean isAdmitted(long remainingNanos, double workNanos, double waitNanos) {
        return waitNanos <= maxWaitNanos && workNanos + waitNanos <= remainingNanos;
    }

    @Override
    public boolean isWorthContinuing(long remainingNanos, double workNanos) {
        return workNanos * minWorkShare <= remainingNanos;
    }

    @Override
    public double getMaxQueueTimeNanos() {
        return MAX_QUEUE_TIME_FACTOR * maxWaitNanos;
    }

    @Override
    public int getQueueCapacity() {
        return QUEUE_CAPACITY;
    }
}
