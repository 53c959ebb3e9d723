package org.fuchsiawharf.core.request;

import com.fasterxml.jackson.core.io.JsonStringEncoder;
import org.fuchsiawharf.core.model.Payload;

/**
 * Builds the answer of a streaming stage from its tokens.
 *
 * <p>Stateless and thread-safe.
 */
final class StreamAnswer {
    private StreamAnswer() {}

    /**
     * Builds the JSON answer.
     *
     * @param text the tokens' text, not null
     * @param tokens the number of tokens
     * @return an object with {@code text} and {@code tokens}, never null
     */
    static Payload of(CharSequence text, long tokens) {
        StringBuilder json = new StringBuilder("{\"text\":\"");
        JsonStringEncoder.getInstance().quoteAsString(text, json);
        return Payload.parse(
                json.append("\",\"tokens\":").append(tokens).append('}').toString());
    }
}
