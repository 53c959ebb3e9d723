package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Decides when a delayed call is hedged by a second, concurrent call.
 *
 * <p>Consulted only for repeatable calls. Confined to the decision loop.
 */
public interface HedgePolicy {
    /** The delay that stands for no hedge. */
    long NO_HEDGE = -1;

    /**
     * Records a first call and gets the delay before its hedge.
     *
     * @param service the called service, not null
     * @param estimate the estimate of the stage's time, not null
     * @return the delay in nanoseconds, {@link #NO_HEDGE} for none
     */
    long getDelay(String service, LatencyEstimate estimate);

    /**
     * Deducts one hedge from the budget of a service.
     *
     * @param service the called service, not null
     * @return false if the budget is exhausted
     */
    boolean trySpend(String service);
}
