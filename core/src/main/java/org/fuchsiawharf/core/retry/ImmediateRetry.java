package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.port.CallFailure;

/**
 * Retries without delay up to a fixed number of times; a baseline for comparisons.
 *
 * <p>Immutable and thread-safe.
 */
public final class ImmediateRetry implements RetryPolicy {
    private final int maxRetries;

    /**
     * Creates a policy.
     *
     * @param maxRetries the maximum number of retries of one stage
     */
    public ImmediateRetry(int maxRetries) {
        this.maxRetries = maxRetries;
    }

    @Override
    public void onFirstCall(String service) {}

    @Override
    public long getDelay(String service, int retries, CallFailure failure, long remainingNanos) {
        return retries < maxRetries ? 0 : NO_RETRY;
    }
}
