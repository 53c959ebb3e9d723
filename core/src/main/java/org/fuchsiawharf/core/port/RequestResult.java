package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.jspecify.annotations.Nullable;

/**
 * The single outcome of a request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the request's id in logs and ledgers
 * @param outcome the outcome
 * @param code why there is no answer, null if there is one
 * @param detail what happened, in words for the caller
 * @param retryAfterMillis when a retry makes sense, in milliseconds, 0 if none does
 * @param answer the last stage's answer, {@link Payload#NULL} if there is none
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
     * @param requestId the request's id, not null
     * @param answer the whole answer, not null
     * @return the result, never null
     */
    public static RequestResult answered(String requestId, Payload answer) {
        return new RequestResult(requestId, Outcome.ANSWERED, null, "", 0, answer);
    }

    /**
     * Creates the result of a request without an answer.
     *
     * @param requestId the request's id, not null
     * @param outcome the outcome, not null
     * @param code the reason, not null
     * @param detail what happened, not null
     * @param retryAfterMillis when a retry makes sense, in milliseconds, 0 if none does
     * @return the result, never null
     */
    public static RequestResult refused(
            String requestId, Outcome outcome, ErrorCode code, String detail, long retryAfterMillis) {
        return new RequestResult(requestId, outcome, code, detail, retryAfterMillis, Payload.NULL);
    }
}
