package org.fuchsiawharf.core.retry;

/**
 * Limits extra calls, such as retries and hedges, to a share of first calls.
 *
 * <p>The balance is between 0 and the maximum. Confined to the decision loop.
 */
public final class ExtraCallBudget {
    private final double extraCallsPerFirstCall;
    private final double maxBalance;
    private double balance;

    /**
     * Creates a full budget.
     *
     * @param extraCallsPerFirstCall the number of extra calls that one first call adds to the balance
     * @param maxBalance the maximum balance, in extra calls
     */
    public ExtraCallBudget(double extraCallsPerFirstCall, double maxBalance) {
        this.extraCallsPerFirstCall = extraCallsPerFirstCall;
        this.maxBalance = maxBalance;
        this.balance = maxBalance;
    }

    /**
     * Creates an empty budget, whose extra calls never exceed the share of the first calls.
     *
     * @param extraCallsPerFirstCall the number of extra calls that one first call adds to the balance
     * @param maxBalance the maximum balance, in extra calls
     * @return the budget, never null
     */
    static ExtraCallBudget empty(double extraCallsPerFirstCall, double maxBalance) {
        ExtraCallBudget budget = new ExtraCallBudget(extraCallsPerFirstCall, maxBalance);
        budget.balance = 0;
        return budget;
    }

    /** Gets the number of extra calls that can be deducted now, with fractions. */
    double getBalance() {
        return balance;
    }

    /** Checks whether the balance suffices for one extra call. */
    boolean canSpend() {
        return balance >= 1;
    }

    /** Adds the extra calls of one first call to the balance. */
    public void earn() {
        balance = Math.min(maxBalance, balance + extraCallsPerFirstCall);
    }

    /**
     * Deducts one extra call if the balance suffices.
     *
     * @return false if the balance is too low
     */
    public boolean trySpend() {
        if (!canSpend()) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
