package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.port.CallFailure;

/**
 * Decides whether and when a repeatable call is retried.
 *
 * <p>Whether a call is repeatable is determined beforehand from its stage and failure. Confined to the decision
 * loop.
 */
public interface RetryPolicy {
    /** The delay that stands for no retry. */
    long NO_RETRY = -1;

    /**
     * Records a first call, which adds to the budget of the service.
     *
     * @param service the called service, not null
     */
    void onFirstCall(String service);

    /**
     * Decides on a retry and deducts it from the budget. A retry may be deducted and then denied because its delay
     * exceeds the remaining time.
     *
     * @param service the called service, not null
     * @param retries the number of previous retries of this stage
     * @param failure the cause of the last attempt's failure, not null
     * @param remainingNanos the time until the deadline, in nanoseconds
     * @return the delay before the retry in nanoseconds, {@link #NO_RETRY} for none
     */
    long getDelay(String service, int retries, CallFailure failure, long remainingNanos);
}
