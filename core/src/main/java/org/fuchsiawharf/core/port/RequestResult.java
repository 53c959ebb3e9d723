package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.jspecify.annotations.Nullable;

/**
 * The result of a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the identifier of the request in logs and ledgers
 * @param outcome the outcome
 * @param code the error code, null if the request was answered
 * @param detail a description of the error for the caller
 * @param retryAfterMillis the time after which a retry is useful, in milliseconds, 0 if a retry is not useful
 * @param answer the response of the last stage, {@link Payload#NULL} if there is none
 */
public record RequestResult(
        String requestId,
        Outcome outcome,
        @Nullable ErrorCode code,
        String detail,
        long retryAfterMillis,
        Payload answer) {
    /**
     * Creates the result of an answered request.
     *
     * @param requestId the identifier of the request, not null
     * @param answer the complete response, not null
     * @return the result, never null
     */
    public static RequestResult answered(String requestId, Payload answer) {
        return new RequestResult(requestId, Outcome.ANSWERED, null, "", 0, answer);
    }

    /**
     * Creates the result of a request that ended with an error.
     *
     * @param requestId the identifier of the request, not null
     * @param outcome the outcome, not null
     * @param code the error code, not null
     * @param detail a description of the error, not null
     * @param retryAfterMillis the time after which a retry is useful, in milliseconds, 0 if a retry is not useful
     * @return the result, never null
     */
    public static RequestResult withoutResponse(
            String requestId, Outcome outcome, ErrorCode code, String detail, long retryAfterMillis) {
        return new RequestResult(requestId, outcome, code, detail, retryAfterMillis, Payload.NULL);
    }
}
