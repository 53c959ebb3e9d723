package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * What a caller may send, and how long it may take.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxHeaderBytes the greatest size of a request's head, in bytes
 * @param maxBodyBytes the greatest size of a request's body, in bytes
 * @param headerTimeoutMillis the longest time to send a request's head, in milliseconds
 * @param idleTimeoutMillis the longest time that a connection stays open without a request, in milliseconds
 */
public record ClientLimits(int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {
    /** The limits before any configuration is known. */
    public static final ClientLimits DEFAULT = new ClientLimits(16_384, 4_194_304, 3_000, 15_000);

    /** Checks the bounds. */
    public ClientLimits {
        Arguments.between(maxHeaderBytes, 1, Integer.MAX_VALUE, "maxHeaderBytes");
        Arguments.between(maxBodyBytes, 0, Integer.MAX_VALUE, "maxBodyBytes");
        Arguments.between(headerTimeoutMillis, 1, Long.MAX_VALUE, "headerTimeoutMillis");
        Arguments.between(idleTimeoutMillis, 1, Long.MAX_VALUE, "idleTimeoutMillis");
    }
}
