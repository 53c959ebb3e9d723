package org.fuchsiawharf.daemon.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawharf.daemon.load.CallerRecord.Result;

/**
 * Checks that a response is complete and belongs to its request.
 *
 * <p>Stateless and thread-safe.
 */
final class ResponseValidator {
    private ResponseValidator() {}

    /**
     * Validates the JSON body of a response.
     *
     * @param planned the request, not null
     * @param body the response body, not null
     * @return {@code ANSWERED}, {@code CROSSED} or {@code INCOMPLETE}
     */
    static Result validate(LoadSchedule.Planned planned, JsonNode body) {
        JsonNode answer = body.path("answer");
        if (!"answered".equals(body.path("outcome").asText())) {
            return Result.INCOMPLETE;
        }
        if (answer.has("text")) {
            return validateText(planned, answer.path("text").asText());
        }
        return planned.nonce().equals(answer.path("nonce").asText()) ? Result.ANSWERED : Result.CROSSED;
    }

    /**
     * Validates generated text.
     *
     * @param planned the request, not null
     * @param text the generated text, not null
     * @return {@code ANSWERED} if the text has every token exactly once and in order, {@code INCOMPLETE} if it
     *     starts with the nonce of the request, otherwise {@code CROSSED}
     */
    static Result validateText(LoadSchedule.Planned planned, String text) {
        StringBuilder expected = new StringBuilder();
        for (int i = 0; i < planned.template().tokens(); i++) {
            expected.append(planned.nonce()).append(':').append(i).append(' ');
        }
        if (expected.toString().contentEquals(text)) {
            return Result.ANSWERED;
        }
        return text.startsWith(planned.nonce() + ":") ? Result.INCOMPLETE : Result.CROSSED;
    }
}
