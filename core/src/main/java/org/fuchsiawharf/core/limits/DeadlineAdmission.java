package org.fuchsiawharf.core.limits;

/**
 * Admits a request only if wait and work fit into its deadline.
 *
 * <p>The wait is bounded besides, far below the deadline: a longer queue serves no more requests under lasting
 * overload, and takes longer to drain after it. Immutable and thread-safe.
 */
public final class DeadlineAdmission implements AdmissionPolicy {
    private static final int QUEUE_CAPACITY = 256;
    private static final double QUEUE_FACTOR = 2;

    private final double maxWaitNanos;
    private final double stopShare;

    /**
     * Creates a policy.
     *
     * @param maxWaitNanos the longest expected wait of an admitted request, in nanoseconds
     * @param stopShare the share of the remaining work's typical time that must still fit for a request to go
     *     on; a greater share stops doomed work earlier
     */
    public DeadlineAdmission(double maxWaitNanos, double stopShare) {
        this.maxWaitNanos = maxWaitNanos;
        this.stopShare = stopShare;
    }

    @Override
    public boolean isAdmitted(long remainingNanos, double workNanos, double waitNanos) {
        return waitNanos <= maxWaitNanos && workNanos + waitNanos <= remainingNanos;
    }

    @Override
    public boolean isWorthContinuing(long remainingNanos, double workNanos) {
        return workNanos * stopShare <= remainingNanos;
    }

    @Override
    public double getMaxQueueNanos() {
        return QUEUE_FACTOR * maxWaitNanos;
    }

    @Override
    public int getQueueCapacity() {
        return QUEUE_CAPACITY;
    }
}
