package org.fuchsiawharf.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;

/**
 * A stage call as an endpoint reads it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stage the stage's name
 * @param attempt the attempt's id, echoed in the answer
 * @param nonce the mark in the caller's body
 * @param previousNonce the mark in the previous stage's answer, empty if there was none
 * @param path the stages that ran before, in order
 * @param tokens the tokens to generate
 * @param offset the tokens that are generated already
 * @param prefix the prompt prefix's hash in hexadecimal, empty for none
 * @param priority the request's priority
 * @param reconnect whether the call rejoins a run
 */
record StageTask(
        String stage,
        String attempt,
        String nonce,
        String previousNonce,
        String path,
        int tokens,
        long offset,
        String prefix,
        Priority priority,
        boolean reconnect) {
    private static final int DEFAULT_TOKENS = 40;

    /**
     * Reads a call.
     *
     * @param exchange the exchange, not null
     * @param stage the stage named by the path, not null
     * @param body the body, not null
     * @return the task, never null
     * @throws java.io.UncheckedIOException if the body is not JSON
     */
    static StageTask read(HttpServerExchange exchange, String stage, byte[] body) {
        JsonNode root = JsonText.readTree(body);
        JsonNode previous = root.path("previous");
        HeaderMap headers = exchange.getRequestHeaders();
        return new StageTask(
                stage,
                text(headers.getFirst(WireHeaders.ATTEMPT)),
                root.path("input").path("nonce").asText(),
                previous.path("nonce").asText(),
                previous.path("path").asText(),
                root.path("input").path("tokens").asInt(DEFAULT_TOKENS),
                root.path("offset").asLong(0),
                text(headers.getFirst(WireHeaders.PREFIX_KEY)),
                Priority.parse(textOr(headers.getFirst(WireHeaders.PRIORITY), "normal")),
                headers.contains(WireHeaders.LAST_EVENT_ID));
    }

    /**
     * Tells whether the previous stage's answer belongs to another request.
     *
     * @return true if its mark differs from the body's
     */
    boolean isCrossed() {
        return !previousNonce.isEmpty() && !previousNonce.equals(nonce);
    }

    /**
     * Gets the answer of a stage that is not a stream.
     *
     * @return JSON with the mark and the stages so far, never null
     */
    String toAnswer() {
        record Answer(String nonce, String path) {}
        return JsonText.write(new Answer(nonce, path.isEmpty() ? stage : path + ">" + stage));
    }

    /**
     * Gets one token of a stream.
     *
     * @param index the token's number
     * @return text that shows both the mark and the number, never null
     */
    String toToken(long index) {
        return nonce + ":" + index + " ";
    }

    private static String text(@Nullable String value) {
        return textOr(value, "");
    }

    private static String textOr(@Nullable String value, String absent) {
        return value == null ? absent : value;
    }
}
