package org.fuchsiawharf.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.concurrent.CompletableFuture;

import io.undertow.util.HeaderMap;

/**
 * Collects a complete response of at most 16 MiB.
 *
 * <p>Confined to its call's I/O thread; the future is thread-safe.
 */
public final class BodyCollector implements HttpResponseHandler {
    private static final int MAX_BYTES = 16 << 20;

    private final CompletableFuture<Response> future = new CompletableFuture<>();
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private int status;
    private HeaderMap headers = new HeaderMap();

    /**
     * A complete response.
     *
     * @param status the status code
     * @param headers the header fields, not null
     * @param body the body, not null
     */
    public record Response(int status, HeaderMap headers, byte[] body) {}

    /**
     * Gets the future of the response.
     *
     * @return a future that completes with the response, or exceptionally with a {@link CallBrokenException} if the
     *     call fails or with an {@link IOException} if the body is too large; never null
     */
    public CompletableFuture<Response> getFuture() {
        return future;
    }

    @Override
    public void onHead(int statusCode, HeaderMap headerFields) {
        status = statusCode;
        headers = headerFields;
    }

    @Override
    public void onData(ByteBuffer data) {
        byte[] part = new byte[data.remaining()];
        data.get(part);
        if (body.size() + part.length > MAX_BYTES) {
            future.completeExceptionally(new IOException("response is larger than " + MAX_BYTES + " bytes"));
            return;
        }
        body.writeBytes(part);
    }

    @Override
    public void onEnd() {
        future.complete(new Response(status, headers, body.toByteArray()));
    }

    @Override
    public void onFailure(boolean possiblySent, IOException cause) {
        future.completeExceptionally(new CallBrokenException(possiblySent, cause));
    }
}
