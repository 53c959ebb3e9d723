package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.error.ErrorCode;

/**
 * A response that the instance returns in place of an endpoint's response, because the request was rejected, its
 * response was lost, or its deadline passed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind the kind, which states whether the request may have run
 * @param code the stable error code
 * @param detail a description of the reason for the caller
 * @param retryAfterMillis the delay after which the caller should retry, in milliseconds; 0 if not specified
 */
public record Refusal(Kind kind, ErrorCode code, String detail, long retryAfterMillis) {
    /** The reason for the response, and whether the request may have run. */
    public enum Kind {
        /** The request has not run and will not run. */
        NOT_RUN,
        /** No route matches the request. */
        NO_ROUTE,
        /** The key belongs to no workspace. */
        NO_WORKSPACE,
        /** The request may have run; its response is lost. */
        LOST,
        /** The request may have run; its response did not arrive before the deadline. */
        TIMED_OUT
    }
}
