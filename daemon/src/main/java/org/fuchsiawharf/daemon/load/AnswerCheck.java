package org.fuchsiawharf.daemon.load;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawharf.daemon.load.CallerRecord.Result;

/**
 * Compares an answer with the request that it is for.
 *
 * <p>Stateless and thread-safe.
 */
final class AnswerCheck {
    private AnswerCheck() {}

    /**
     * Checks an answer's JSON.
     *
     * @param planned the request, not null
     * @param body the answer's body, not null
     * @return answered, crossed or incomplete
     */
    static Result check(LoadSchedule.Planned planned, JsonNode body) {
        JsonNode answer = body.path("answer");
        if (!"answered".equals(body.path("outcome").asText())) {
            return Result.INCOMPLETE;
        }
        if (answer.has("text")) {
            return checkText(planned, answer.path("text").asText());
        }
        return planned.nonce().equals(answer.path("nonce").asText()) ? Result.ANSWERED : Result.CROSSED;
    }

    /**
     * Checks generated text.
     *
     * @param planned the request, not null
     * @param text the text, not null
     * @return answered if every token stands there once in order
     */
    static Result checkText(LoadSchedule.Planned planned, String text) {
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
