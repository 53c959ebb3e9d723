package org.fuchsiawharf.core.retry;

/**
 * Limits extra calls, such as retries and hedges, to a share of first calls.
 *
 * <p>The balance is between 0 and the maximum. Confined to the decision loop.
 */
public final class ExtraCallBudget {
    private final double share;
    private final double maxBalance;
    private double balance;

    /**
     * Creates a full budget.
     *
     * @param share the extra calls that one first call earns
     * @param maxBalance the maximum balance, in extra calls
     */
    public ExtraCallBudget(double share, double maxBalance) {
        this.share = share;
        this.maxBalance = maxBalance;
        this.balance = maxBalance;
    }

    /** Adds the share that one first call earns. */
    public void earn() {
        balance = Math.min(maxBalance, balance + share);
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
