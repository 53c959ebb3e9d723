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
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
