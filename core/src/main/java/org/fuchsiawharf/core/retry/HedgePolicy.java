package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Decides when a second call is sent beside one that is late.
 *
 * <p>Asked only about calls that may be repeated. Confined to the decision loop.
 */
public interface HedgePolicy {
    /** The answer that means no hedge. */
    long NO_HEDGE = -1;

    /**
     * Notes a first call and gets when it would be hedged.
     *
     * @param service the called service, not null
     * @param estimate the stage's usual time, not null
     * @return the delay in nanoseconds, {@link #NO_HEDGE} for none
     */
    long getDelay(String service, LatencyEstimate estimate);

    /**
     * Takes the budget of one hedge.
     *
     * @param service the called service, not null
     * @return false if the budget does not suffice
     */
    boolean trySpend(String service);
}
