package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.port.CallFailure;

/**
 * Decides whether and when a call that may be repeated is repeated.
 *
 * <p>Whether a call may be repeated at all is decided before, from its stage and failure. Confined to the decision
 * loop.
 */
public interface RetryPolicy {
    /** The answer that means no retry. */
    long NO_RETRY = -1;

    /**
     * Notes a first call, which earns budget.
     *
     * @param service the called service, not null
     */
    void onFirstCall(String service);

    /**
     * Decides on a retry and takes its budget.
     *
     * @param service the called service, not null
     * @param retries the retries already made for this stage
     * @param failure why the last attempt failed, not null
     * @param remainingNanos the time until the deadline
     * @return the delay before the retry in nanoseconds, {@link #NO_RETRY} for none
     */
    long getDelay(String service, int retries, CallFailure failure, long remainingNanos);
}
