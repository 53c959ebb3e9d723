package org.fuchsiawharf.core.retry;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Hedges calls that take far longer than usual, within a small budget per service.
 *
 * <p>Confined to the decision loop.
 */
public final class BudgetedHedge implements HedgePolicy {
    private static final int MIN_SAMPLES = 20;
    private static final double DEVIATIONS = 6;
    private static final long MIN_DELAY_NANOS = 10_000_000;
    private static final double MAX_BALANCE = 5;

    private final double share;
    private final Map<String, ExtraCallBudget> budgets = new HashMap<>();

    /**
     * Creates a policy with full budgets.
     *
     * @param share the number of hedges allowed per first call
     */
    public BudgetedHedge(double share) {
        this.share = share;
    }

    @Override
    public long getDelay(String service, LatencyEstimate estimate) {
        budgetOf(service).earn();
        if (estimate.getCount() < MIN_SAMPLES) {
            return NO_HEDGE;
        }
        return Math.max(MIN_DELAY_NANOS, (long) estimate.getBound(DEVIATIONS));
    }

    @Override
    public boolean trySpend(String service) {
        return budgetOf(service).trySpend();
    }

    private ExtraCallBudget budgetOf(String service) {
        return budgets.computeIfAbsent(service, s -> new ExtraCallBudget(share, MAX_BALANCE));
    }
}
