package org.fuchsiawharf.core.store;

/**
 * The latest request of a follower, returned to it with a report, so that it can bound the age of what is reported.
 *
 * <p>Instances share no clock: the time of the request is a reading of the follower's clock, and the rest a duration.
 * Immutable and thread-safe.
 *
 * @param sentNanos the time at which the request was sent, on the clock of the follower
 * @param heldNanos the time from the arrival of the request until the store's response that is reported; negative if the
 *     response came first
 */
public record RequestEcho(long sentNanos, long heldNanos) {
    /**
     * Bounds the time since the reporting instance had the response of the store; the time that the request was on its
     * way is included.
     *
     * @param nowNanos the time, on the clock of the follower
     * @return the age in nanoseconds, at least 0
     */
    public long getAgeNanos(long nowNanos) {
        return Math.max(0, nowNanos - sentNanos - heldNanos);
    }
}
