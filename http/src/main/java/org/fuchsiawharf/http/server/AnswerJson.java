package org.fuchsiawharf.http.server;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.fuchsiawharf.core.port.RequestResult;

/**
 * Writes the answer of a request as JSON.
 *
 * <p>Stateless and thread-safe.
 */
final class AnswerJson {
    private AnswerJson() {}

    /**
     * Writes an answered result.
     *
     * @param result the result, not null
     * @return an object with {@code requestId}, {@code outcome} and {@code answer}, never null
     */
    static byte[] of(RequestResult result) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String head = "{\"requestId\":\"" + result.requestId() + "\",\"outcome\":\"answered\",\"answer\":";
        body.writeBytes(head.getBytes(StandardCharsets.UTF_8));
        body.writeBytes(result.answer().getBytes());
        body.write('}');
        return body.toByteArray();
    }
}
