package org.fuchsiawharf.core.retry;

import org.fuchsiawharf.core.time.Clock;

/**
 * The limit and the delay of the hedges of one instance.
 *
 * <p>The record is immutable; its components are confined to the decision loop.
 *
 * @param limits the extra work that the operator accepts
 * @param budget limits the hedges
 * @param delay determines when a call is hedged
 */
public record Hedging(HedgeLimits limits, HedgeBudget budget, HedgeDelay delay) {
    /**
     * Creates an empty budget and a delay without samples.
     *
     * @param limits the extra work that the operator accepts, not null
     * @param retries the retry budget, from which each hedge is deducted, not null
     * @param clock the clock, not null
     * @return the hedging, never null
     */
    public static Hedging of(HedgeLimits limits, SharedRetryBudget retries, Clock clock) {
        return new Hedging(limits, new HedgeBudget(limits, retries), new HedgeDelay(limits, clock));
    }
}
