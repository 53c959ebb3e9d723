package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * The size and time limits that apply to a caller's connections and requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the maximum size of a request head, in bytes
 * @param maxBodyBytes the maximum size of a request body, in bytes
 * @param headerTimeoutMillis the maximum time for receiving a request head, in milliseconds
 * @param idleTimeoutMillis the maximum time that a connection stays open without a request, in milliseconds
 */
public record CallerLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits that apply until the first configuration is applied. */
    public static final CallerLimits DEFAULT = new CallerLimits(16_384, 4_194_304, 3_000, 15_000);

    /** Validates the limits. */
    public CallerLimits {
        Arguments.between(maxHeaderBytes, 1, Integer.MAX_VALUE, "maxHeaderBytes");
        Arguments.between(maxBodyBytes, 0, Integer.MAX_VALUE, "maxBodyBytes");
        Arguments.between(headerTimeoutMillis, 1, Long.MAX_VALUE, "headerTimeoutMillis");
        Arguments.between(idleTimeoutMillis, 1, Long.MAX_VALUE, "idleTimeoutMillis");
    }
}
