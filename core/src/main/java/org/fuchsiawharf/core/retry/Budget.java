package org.fuchsiawharf.core.retry;

/**
 * Allows extra calls as a share of first calls.
 *
 * <p>The balance lies between 0 and its bound. Confined to the decision loop.
 */
public final class Budget {
    private final double share;
    private final double max;
    private double balance;

    /**
     * Creates a full budget.
     *
     * @param share what one first call earns, in extra calls
     * @param max the greatest balance, in extra calls
     */
    public Budget(double share, double max) {
        this.share = share;
        this.max = max;
        this.balance = max;
    }

    /** Adds what one first call earns. */
    public void earn() {
        balance = Math.min(max, balance + share);
    }

    /**
     * Takes one extra call.
     *
     * @return false if the balance does not suffice
     */
    public boolean trySpend() {
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }
}
