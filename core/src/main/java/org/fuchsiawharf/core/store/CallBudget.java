package org.fuchsiawharf.core.store;

import org.fuchsiawharf.core.time.Clock;

/**
 * A token bucket that limits the rate of calls to a shared service.
 *
 * <p>Tokens accrue at a constant rate. The capacity of the bucket is the tokens of one second. Thread-safe.
 */
public final class CallBudget {
    private static final double NANOS_PER_SECOND = 1e9;

    private final Clock clock;
    private final double ratePerSecond;
    private double tokens;
    private long lastNanos;

    /**
     * Creates a budget with a full bucket.
     *
     * @param clock the clock that measures elapsed time, not null
     * @param ratePerSecond the calls allowed per second, at least 1
     */
    public CallBudget(Clock clock, double ratePerSecond) {
        this.clock = clock;
        this.ratePerSecond = ratePerSecond;
        this.tokens = ratePerSecond;
        this.lastNanos = clock.nanos();
    }

    /**
     * Takes a token if one is available.
     *
     * @return true if a token was taken and the call is allowed
     */
    public synchronized boolean trySpend() {
        refill();
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }

    /**
     * Takes a token, also if none is available.
     *
     * @return the time to wait before the call, in nanoseconds; 0 if the call is allowed at once
     */
    public synchronized long reserve() {
        refill();
        tokens -= 1;
        return tokens >= 0 ? 0 : (long) (-tokens / ratePerSecond * NANOS_PER_SECOND);
    }

    private void refill() {
        long now = clock.nanos();
        tokens = Math.min(ratePerSecond, tokens + (now - lastNanos) / NANOS_PER_SECOND * ratePerSecond);
        lastNanos = now;
    }
}
