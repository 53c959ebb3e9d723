package org.fuchsiawharf.core.retry;

import java.util.HashMap;
import java.util.Map;

/**
 * Limits hedges to a share of the calls of their service and of all calls, and to half of the retry budget.
 *
 * <p>Each call of this instance earns a share of a hedge. Nothing is earned before the first call and little is saved
 * up, so that the hedges of any number of instances stay within the share without communication. Each hedge also spends
 * one retry, and is denied if it would leave less than half of this instance's part of the retry budget. Confined to
 * the decision loop.
 */
public final class HedgeBudget {
    /**
     * Maximum number of hedges that are saved up. An instance with one call in two seconds earns a hedge in 40 s at a
     * share of 0.05; a larger number would let many instances hedge together when a whole service turns slow.
     */
    private static final double MAX_BALANCE = 2;

    private final HedgeLimits limits;
    private final SharedRetryBudget retries;
    private final ExtraCallBudget allServices;
    private final Map<String, ExtraCallBudget> services = new HashMap<>();

    /** The outcome of a request for one hedge. */
    public enum Result {
        /** The hedge has been deducted. */
        GRANTED,
        /** The share of the service is used up. */
        SHARE_SPENT,
        /** The share of all services is used up. */
        FLEET_SHARE_SPENT,
        /** Less than half of the retry budget would be left. */
        RETRIES_SPENT
    }

    /**
     * Creates an empty budget.
     *
     * @param limits the shares, not null
     * @param retries the retry budget, from which each hedge is deducted, not null
     */
    public HedgeBudget(HedgeLimits limits, SharedRetryBudget retries) {
        this.limits = limits;
        this.retries = retries;
        this.allServices = ExtraCallBudget.empty(limits.fleetShare(), MAX_BALANCE);
    }

    /**
     * Records the first call of a request.
     *
     * @param service the called service, not null
     */
    public void onCall(String service) {
        budgetOf(service).earn();
        allServices.earn();
    }

    /**
     * Deducts one hedge, and one retry, if all limits allow it.
     *
     * @param service the called service, not null
     * @return {@link Result#GRANTED}, or the limit that does not allow it, in which case nothing is deducted; never null
     */
    public Result trySpend(String service) {
        ExtraCallBudget budget = budgetOf(service);
        if (!budget.canSpend()) {
            return Result.SHARE_SPENT;
        }
        if (!allServices.canSpend()) {
            return Result.FLEET_SHARE_SPENT;
        }
        if (!retries.trySpendOfFirstHalf(service)) {
            return Result.RETRIES_SPENT;
        }
        budget.trySpend();
        allServices.trySpend();
        return Result.GRANTED;
    }

    /**
     * Gets the hedges that the share of a service allows now.
     *
     * @param service the called service, not null
     * @return the number, with fractions
     */
    public double getBalance(String service) {
        return budgetOf(service).getBalance();
    }

    private ExtraCallBudget budgetOf(String service) {
        return services.computeIfAbsent(service, s -> ExtraCallBudget.empty(limits.share(), MAX_BALANCE));
    }
}
