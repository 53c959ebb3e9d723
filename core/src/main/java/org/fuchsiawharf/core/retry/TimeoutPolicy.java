package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Bounds how long one attempt of a repeatable stage may stay silent.
 *
 * <p>Confined to the decision loop.
 */
public interface TimeoutPolicy {
    /** The answer that means that only the request's deadline bounds the attempt. */
    long NO_TIMEOUT = Long.MAX_VALUE;

    /**
     * Gets the bound on the time until the answer, or until the first token of a stream.
     *
     * @param estimate the usual time, not null
     * @param remainingNanos the time until the deadline
     * @return nanoseconds, {@link #NO_TIMEOUT} for none
     */
    long getAnswerTimeout(LatencyEstimate estimate, long remainingNanos);

    /**
     * Gets the bound on the time between two tokens.
     *
     * @param estimate the usual time, not null
     * @return nanoseconds, {@link #NO_TIMEOUT} for none
     */
    long getTokenTimeout(LatencyEstimate estimate);
}
