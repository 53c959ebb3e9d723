package org.fuchsiawharf.core.retry;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.port.CallFailure;

/**
 * Retries within a budget per service, with jittered exponential backoff after failures that suggest overload.
 *
 * <p>Confined to the decision loop.
 */
public final class BudgetedRetry implements RetryPolicy {
    private static final int MAX_RETRIES = 3;
    private static final double BUDGET_SHARE = 0.2;
    private static final double MAX_BALANCE = 20;
    private static final long MIN_FIRST_DELAY_NANOS = 5_000_000;
    private static final long MAX_FIRST_DELAY_NANOS = 40_000_000;

    private final SplittableRandom random;
    private final Map<String, ExtraCallBudget> budgets = new HashMap<>();

    /**
     * Creates a policy with full budgets.
     *
     * @param random the random generator for the jitter, not null
     */
    public BudgetedRetry(SplittableRandom random) {
        this.random = random;
    }

    @Override
    public void onFirstCall(String service) {
        budgetOf(service).earn();
    }

    @Override
    public long getDelay(String service, int retries, CallFailure failure, long remainingNanos) {
        if (retries >= MAX_RETRIES || !budgetOf(service).trySpend()) {
            return NO_RETRY;
        }
        if (failure != CallFailure.REFUSED && failure != CallFailure.ERROR) {
            return 0;
        }
        long delay = random.nextLong(MIN_FIRST_DELAY_NANOS, MAX_FIRST_DELAY_NANOS) << retries;
        return delay < remainingNanos ? delay : NO_RETRY;
    }

    private ExtraCallBudget budgetOf(String service) {
        return budgets.computeIfAbsent(service, s -> new ExtraCallBudget(BUDGET_SHARE, MAX_BALANCE));
    }
}
