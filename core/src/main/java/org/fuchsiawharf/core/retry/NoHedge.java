package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Never hedges; a baseline for comparisons, and for configurations that minimize cost.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoHedge implements HedgePolicy {
    @Override
    public long getDelay(String service, LatencyEstimate estimate) {
        return NO_HEDGE;
    }

    @Override
    public boolean trySpend(String service) {
        return false;
    }
}
