package org.fuchsiawharf.core.routing;

import java.util.function.LongSupplier;

/**
 * The requests per second that an endpoint accepts from all instances together, because it named a limit or is cold, this
 * instance's share of them, and the time until which it accepts none from this instance.
 *
 * <p>The share is an interval between two requests of this instance. Unused time is not saved up, so that the instances
 * together never send a burst.
 *
 * <p>Confined to the decision loop.
 */
public final class RequestLimit {
    /** The interval of an instance that sends no requests. */
    public static final long NEVER = Long.MAX_VALUE / 4;

    private double perSecond;
    private long firstNamedNanos;
    private long lastNamedNanos = Long.MIN_VALUE;
    private long lastSentNanos = Long.MIN_VALUE / 2;
    private double firstDelayShare;
    private LongSupplier intervalNanos = () -> 0;
    private LongSupplier coldIntervalNanos = () -> 0;
    private long coldUntilNanos = Long.MIN_VALUE;
    private long pausedUntilNanos = Long.MIN_VALUE;

    /**
     * Sets the share of this instance; called before {@link #onNamed}.
     *
     * @param interval gets the interval between two requests of this instance while a limit is named, in nanoseconds, not
     *     null
     * @param delayShare the part of the interval that passes between the naming of the limit and the first request, 0 to 1
     */
    public void setShare(LongSupplier interval, double delayShare) {
        intervalNanos = interval;
        firstDelayShare = delayShare;
    }

    /**
     * Applies the limit of a response. The absence of a limit is ignored if the request was sent before the limit was
     * last named, since its response may be older.
     *
     * @param limit the requests per second; 0 if the response names no limit
     * @param sentNanos the time at which the request was sent, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     * @return true if the limit changed
     */
    public boolean onNamed(double limit, long sentNanos, long nowNanos) {
        if (limit == 0 && sentNanos < lastNamedNanos) {
            return false;
        }
        if (limit > 0) {
            lastNamedNanos = nowNanos;
            if (perSecond == 0) {
                firstNamedNanos = nowNanos;
                // The interval of a cold endpoint counts from the same time.
                lastSentNanos = isCold(nowNanos) ? lastSentNanos : Long.MIN_VALUE / 2;
            }
        }
        boolean changed = limit != perSecond;
        perSecond = limit;
        return changed;
    }

    /**
     * Gets the limit.
     *
     * @return the requests per second, 0 if unlimited
     */
    public double getPerSecond() {
        return perSecond;
    }

    /**
     * Checks whether this instance may send a request now.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint accepts requests, and there is no limit or the interval has passed
     */
    public boolean maySend(long nowNanos) {
        boolean limited = perSecond > 0 || isCold(nowNanos);
        return nowNanos >= pausedUntilNanos && (!limited || nowNanos >= getNextSendNanos());
    }

    /**
     * Applies that the endpoint accepts no requests from this instance for a time; a later end is kept.
     *
     * @param nanos the end of that time, in nanoseconds
     */
    public void pauseUntil(long nanos) {
        pausedUntilNanos = Math.max(pausedUntilNanos, nanos);
    }

    /**
     * Gets the end of the time for which the endpoint accepts no requests from this instance.
     *
     * @return the time in nanoseconds, {@link Long#MIN_VALUE} if it never asked for one
     */
    public long getPausedUntilNanos() {
        return pausedUntilNanos;
    }

    /**
     * Limits the requests of this instance until the endpoint is warm; a later end that is known is kept.
     *
     * @param nanos the time at which the endpoint is warm, in nanoseconds
     * @param interval gets the interval between two requests of this instance until then, in nanoseconds, not null
     */
    public void limitWhileCold(long nanos, LongSupplier interval) {
        coldUntilNanos = Math.max(coldUntilNanos, nanos);
        coldIntervalNanos = interval;
    }

    /**
     * Checks whether the endpoint is cold.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true until the time at which it is warm
     */
    public boolean isCold(long nowNanos) {
        return nowNanos < coldUntilNanos;
    }

    /**
     * Gets the time at which the endpoint is warm.
     *
     * @return the time in nanoseconds, {@link Long#MIN_VALUE} if it never was cold
     */
    public long getColdUntilNanos() {
        return coldUntilNanos;
    }

    /**
     * Gets the time from which the limits permit a request, in the past if they permit one now.
     *
     * @return the time in nanoseconds; {@link Long#MIN_VALUE} if there is no limit
     */
    public long getNextSendNanos() {
        long coldNextNanos = getNextColdSendNanos();
        if (perSecond == 0) {
            return coldNextNanos;
        }
        long interval = intervalNanos.getAsLong();
        long namedNextNanos = Math.max(lastSentNanos + interval, firstNamedNanos + (long) (firstDelayShare * interval));
        return Math.max(coldNextNanos, namedNextNanos);
    }

    private long getNextColdSendNanos() {
        if (coldUntilNanos == Long.MIN_VALUE) {
            return Long.MIN_VALUE;
        }
        long interval = coldIntervalNanos.getAsLong();
        return interval >= NEVER ? coldUntilNanos : Math.min(coldUntilNanos, lastSentNanos + interval);
    }

    /**
     * Records that a request of any kind is sent to the endpoint.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onSent(long nowNanos) {
        lastSentNanos = nowNanos;
    }
}
