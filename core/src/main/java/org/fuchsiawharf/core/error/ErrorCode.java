package org.fuchsiawharf.core.error;

import java.util.Locale;

/**
 * The stable codes of all errors that are reported to callers and operators.
 *
 * <p>The wire form of a released code never changes. Immutable and thread-safe.
 */
public enum ErrorCode {
    INVALID_ARGUMENT,
    UNKNOWN_PIPELINE,
    UNKNOWN_SERVICE,
    UNKNOWN_WORKSPACE,
    MALFORMED_BODY,
    BODY_TOO_LARGE,
    INVALID_DEADLINE,
    DEADLINE_PASSED,
    IDEMPOTENCY_KEY_MISSING,
    IDEMPOTENCY_KEY_REUSED,
    WORKSPACE_LIMIT,
    OVERLOADED,
    DEADLINE_UNREACHABLE,
    NO_ENDPOINT,
    QUARANTINED,
    STREAM_ORIGIN_UNKNOWN,
    SHUTTING_DOWN,
    STAGE_FAILED,
    DEADLINE_EXCEEDED,
    CALLER_LEFT,
    STORE_UNAVAILABLE,
    CLAIM_ELSEWHERE,
    SETTINGS_INVALID,
    INTERNAL;

    /**
     * Gets the stable wire form, such as {@code deadline_exceeded}.
     *
     * @return the lower-case code, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
