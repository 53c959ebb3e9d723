package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Leaves every attempt to the request's deadline: the baseline.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoTimeout implements TimeoutPolicy {
    @Override
    public long getAnswerTimeout(LatencyEstimate estimate, long remainingNanos) {
        return NO_TIMEOUT;
    }

    @Override
    public long getTokenTimeout(LatencyEstimate estimate) {
        return NO_TIMEOUT;
    }
}
