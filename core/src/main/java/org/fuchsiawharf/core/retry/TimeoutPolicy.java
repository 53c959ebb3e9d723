package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Decides how long an attempt of a repeatable stage may go without progress.
 *
 * <p>Confined to the decision loop.
 */
public interface TimeoutPolicy {
    /** The time limit of an attempt that is bounded by the request's deadline only. */
    long NO_TIMEOUT = Long.MAX_VALUE;

    /**
     * Gets the time limit for the response, or for the first token of a stream.
     *
     * @param estimate the estimate of the time until the response, not null
     * @param remainingNanos the time until the deadline, in nanoseconds
     * @return the time limit in nanoseconds, {@link #NO_TIMEOUT} for none
     */
    long getResponseTimeout(LatencyEstimate estimate, long remainingNanos);

    /**
     * Gets the time limit between two tokens.
     *
     * @param estimate the estimate of the interval between two tokens, not null
     * @return the time limit in nanoseconds, {@link #NO_TIMEOUT} for none
     */
    long getTokenTimeout(LatencyEstimate estimate);
}
