package org.fuchsiawharf.core.retry;

/**
 * The extra work that the operator accepts for hedges.
 *
 * <p>Immutable and thread-safe.
 *
 * @param share the hedges of a service as a share of its calls, 0 to {@link #MAX_SHARE}; 0 if no request is hedged
 * @param fleetShare the hedges of all services as a share of all calls, 0 to {@link #MAX_SHARE}
 */
public record HedgeLimits(double share, double fleetShare) {
    /** The largest share of extra calls that can be configured. */
    public static final double MAX_SHARE = 0.2;

    /** No request is hedged. */
    public static final HedgeLimits OFF = new HedgeLimits(0, 0);

    /** Checks the shares. */
    public HedgeLimits {
        if (!(share >= 0 && share <= MAX_SHARE && fleetShare >= 0 && fleetShare <= MAX_SHARE)) {
            throw new IllegalArgumentException("shares of hedges " + share + ", " + fleetShare + "; allowed: 0 to 0.2");
        }
    }

    /**
     * Checks whether no request is hedged.
     *
     * @return true if a share is 0
     */
    public boolean isOff() {
        return share == 0 || fleetShare == 0;
    }
}
