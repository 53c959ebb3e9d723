package org.fuchsiawharf.core.limits;

/**
 * Admits all requests; a baseline for comparisons.
 *
 * <p>Stateless and thread-safe.
 */
public final class AdmitAll implements AdmissionPolicy {
    private static final int QUEUE_CAPACITY = 100_000;

    @Override
    public boolean isAdmitted(long remainingNanos, double workNanos, double waitNanos) {
        return true;
    }

    @Override
    public boolean isWorthContinuing(long remainingNanos, double workNanos) {
        return true;
    }

    @Override
    public double getMaxQueueTimeNanos() {
        return Double.MAX_VALUE;
    }

    @Override
    public int getQueueCapacity() {
        return QUEUE_CAPACITY;
    }
}
