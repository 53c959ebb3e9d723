package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.error.ErrorCode;

/**
 * An answer of the instance's own in place of an endpoint's.
 *
 * <p>Immutable and thread-safe.
 *
 * @param kind what it promises
 * @param code the stable code
 * @param detail what is missing or failed, for the caller
 * @param retryAfterMillis when the caller should come back, in milliseconds; 0 for no advice
 */
public record Refusal(Kind kind, ErrorCode code, String detail, long retryAfterMillis) {
    /** What an answer of the instance's own promises. */
    public enum Kind {
        /** The request did not run and never will. */
        NOT_RUN,
        /** No configuration has such a route. */
        NO_ROUTE,
        /** No workspace holds the key. */
        NO_WORKSPACE,
        /** The request may have run; its answer is lost. */
        LOST,
        /** The request may have run; its answer did not come in time. */
        TIMED_OUT
    }
}
