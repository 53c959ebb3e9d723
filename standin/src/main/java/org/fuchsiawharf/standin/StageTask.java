package org.fuchsiawharf.standin;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;

/**
 * A stage call as received by an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param stage the name of the stage
 * @param attempt the attempt id, echoed in the response
 * @param nonce the nonce in the caller's input
 * @param previousNonce the nonce in the previous stage's result, empty if there is none
 * @param path the names of the previous stages in the order of execution, separated by &gt;
 * @param tokens the total number of tokens to generate
 * @param offset the number of tokens that are already generated
 * @param prefix the hexadecimal hash of the prompt prefix, empty if there is none
 * @param priority the request's priority
 * @param reconnect whether the call resumes an existing run
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
     * Reads a stage call from an HTTP exchange.
     *
     * @param exchange the exchange, not null
     * @param stage the stage named in the request path, not null
     * @param body the request body, not null
     * @return the task, never null
     * @throws java.io.UncheckedIOException if the body is not JSON
     */
    static StageTask read(HttpServerExchange exchange, String stage, byte[] body) {
        JsonNode root = JsonText.readTree(body);
        JsonNode previous = root.path("previous");
        HeaderMap headers = exchange.getRequestHeaders();
        return new StageTask(
                stage,
                textOrEmpty(headers.getFirst(WireHeaders.ATTEMPT)),
                root.path("input").path("nonce").asText(),
                previous.path("nonce").asText(),
                previous.path("path").asText(),
                root.path("input").path("tokens").asInt(DEFAULT_TOKENS),
                root.path("offset").asLong(0),
                textOrEmpty(headers.getFirst(WireHeaders.PREFIX_KEY)),
                Priority.parse(textOrDefault(headers.getFirst(WireHeaders.PRIORITY), "normal")),
                headers.contains(WireHeaders.LAST_EVENT_ID));
    }

    /**
     * Checks whether the previous stage's result belongs to another request.
     *
     * @return true if the nonce of the result differs from the nonce of the caller's input
     */
    boolean hasMismatchedNonce() {
        return !previousNonce.isEmpty() && !previousNonce.equals(nonce);
    }

    /**
     * Gets the response of a stage that does not stream.
     *
     * @return JSON with the nonce and the stages run so far, never null
     */
    String toResponse() {
        record Response(String nonce, String path) {}
        return JsonText.write(new Response(nonce, path.isEmpty() ? stage : path + ">" + stage));
    }

    /**
     * Gets the text of one token of a stream.
     *
     * @param index the zero-based index of the token
     * @return text that contains the nonce and the index, never null
     */
    String toToken(long index) {
        return nonce + ":" + index + " ";
    }

    private static String textOrEmpty(@Nullable String value) {
        return textOrDefault(value, "");
    }

    private static String textOrDefault(@Nullable String value, String defaultText) {
        return value == null ? defaultText : value;
    }
}
