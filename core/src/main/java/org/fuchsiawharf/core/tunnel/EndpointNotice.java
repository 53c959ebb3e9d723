package org.fuchsiawharf.core.tunnel;

/**
 * What an endpoint stated about itself in a response.
 *
 * <p>Immutable and thread-safe.
 *
 * @param leaving whether the endpoint is leaving
 * @param pauseNanos the time for which the endpoint accepts no requests, in nanoseconds; 0 if it does
 */
public record EndpointNotice(boolean leaving, long pauseNanos) {
    /** A notice without contents. */
    public static final EndpointNotice NONE = new EndpointNotice(false, 0);
}
