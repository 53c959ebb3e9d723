package org.fuchsiawharf.http.server;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;

import org.fuchsiawharf.core.port.RequestResult;

/**
 * Writes the response body of an answered request as JSON.
 *
 * <p>Stateless and thread-safe.
 */
final class ResponseJson {
    private ResponseJson() {}

    /**
     * Writes the result of an answered request.
     *
     * @param result the result, not null
     * @return an object with {@code requestId}, {@code outcome} and {@code answer}, never null
     */
    static byte[] of(RequestResult result) {
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        String prefix = "{\"requestId\":\"" + result.requestId() + "\",\"outcome\":\"answered\",\"answer\":";
        body.writeBytes(prefix.getBytes(StandardCharsets.UTF_8));
        body.writeBytes(result.answer().getBytes());
        body.write('}');
        return body.toByteArray();
    }
}
