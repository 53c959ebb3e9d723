package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Bounds attempts by the request's deadline only; a baseline for comparisons.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoTimeout implements TimeoutPolicy {
    @Override
    public long getResponseTimeout(LatencyEstimate estimate, long remainingNanos) {
        return NO_TIMEOUT;
    }

    @Override
    public long getTokenTimeout(LatencyEstimate estimate) {
        return NO_TIMEOUT;
    }
}
