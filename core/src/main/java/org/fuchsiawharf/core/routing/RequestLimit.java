package org.fuchsiawharf.core.routing;

/**
 * The requests per second that an endpoint accepts from all instances together, as it last named them.
 *
 * <p>Confined to the decision loop.
 */
public final class RequestLimit {
    private double perSecond;
    private long namedNanos = Long.MIN_VALUE;

    /**
     * Applies the limit of a response. The absence of a limit is ignored if the request was sent before the limit was
     * named, since its response may be older.
     *
     * @param limit the requests per second; 0 if the response names no limit
     * @param sentNanos the time at which the request was sent, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     * @return true if the limit changed
     */
    public boolean onNamed(double limit, long sentNanos, long nowNanos) {
        if (limit == 0 && sentNanos < namedNanos) {
            return false;
        }
        boolean changed = limit != perSecond;
        perSecond = limit;
        if (limit > 0 && changed) {
            namedNanos = nowNanos;
        }
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
}
