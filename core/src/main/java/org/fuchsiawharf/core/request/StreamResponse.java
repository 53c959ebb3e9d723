package org.fuchsiawharf.core.request;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.fuchsiawharf.core.model.Payload;

/**
 * Builds the response of a streaming stage from its tokens.
 *
 * <p>Stateless and thread-safe.
 */
final class StreamResponse {
    private StreamResponse() {}

    /**
     * Builds the JSON response.
     *
     * @param text the concatenated text of the tokens, not null
     * @param tokens the number of tokens
     * @return an object with the fields {@code text} and {@code tokens}, never null
     */
    static Payload of(CharSequence text, long tokens) {
        StringBuilder json = new StringBuilder("{\"text\":\"");
        JsonStringEncoder.getInstance().quoteAsString(text, json);
        return Payload.ofJson(
                json.append("\",\"tokens\":").append(tokens).append('}').toString());
    }
}
