package org.fuchsiawharf.core.store;

import org.fuchsiawharf.core.time.Clock;

/**
 * How many calls may be made to a service that many share: a steady rate, and what one second of it saves up.
 *
 * <p>Thread-safe.
 */
public final class CallBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final double perSecond;
    private double balance;
    private long lastNanos;

    /**
     * Creates a full budget.
     *
     * @param clock measures time, not null
     * @param perSecond the calls allowed a second, at least 1
     */
    public CallBudget(Clock clock, double perSecond) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.balance = perSecond;
        this.lastNanos = clock.nanos();
    }

    /**
     * Takes a call if one is allowed now.
     *
     * @return whether it is
     */
    public synchronized boolean trySpend() {
        refill();
        if (balance < 1) {
            return false;
        }
        balance -= 1;
        return true;
    }

    /**
     * Takes a call in any case.
     *
     * @return how long it must wait until it is allowed, in nanoseconds; 0 if it may go now
     */
    public synchronized long spend() {
        refill();
        balance -= 1;
        return balance >= 0 ? 0 : (long) (-balance / perSecond * NANOS_PER_SECOND);
    }

    private void refill() {
        long now = clock.nanos();
        balance = Math.min(perSecond, balance + (now - lastNanos) / NANOS_PER_SECOND * perSecond);
        lastNanos = now;
    }
}
