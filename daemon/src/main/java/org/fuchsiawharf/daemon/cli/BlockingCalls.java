package org.fuchsiawharf.daemon.cli;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.undertow.util.HttpString;
import org.fuchsiawharf.http.client.BodyCollector;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;

/**
 * Sends HTTP requests and blocks until the response is complete.
 *
 * <p>Thread-safe.
 */
final class BlockingCalls {
    private static final long TIMEOUT_SECONDS = 30;

    private BlockingCalls() {}

    /**
     * Sends a GET request.
     *
     * @param client the client to send the request with, not null
     * @param target the address of the server, not null
     * @param path the path, not null
     * @param headers the header fields, not null
     * @return the response, never null
     * @throws UncheckedIOException if the call fails or no response arrives within the timeout
     */
    static Response get(HttpClient client, HttpTarget target, String path, Map<HttpString, String> headers) {
        BodyCollector collector = new BodyCollector();
        client.get(target, path, headers, collector);
        return await(collector, target);
    }

    /**
     * Sends a POST request.
     *
     * @param client the client to send the request with, not null
     * @param target the address of the server, not null
     * @param path the path, not null
     * @param headers the header fields, not null
     * @param body the body, not null
     * @return the response, never null
     * @throws UncheckedIOException if the call fails or no response arrives within the timeout
     */
    static Response post(
            HttpClient client, HttpTarget target, String path, Map<HttpString, String> headers, String body) {
        BodyCollector collector = new BodyCollector();
        client.post(target, path, headers, body.getBytes(StandardCharsets.UTF_8), true, collector);
        return await(collector, target);
    }

    private static Response await(BodyCollector collector, HttpTarget target) {
        try {
            return collector
                    .getFuture()
                    .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                    .join();
        } catch (CompletionException e) {
            throw new UncheckedIOException(new IOException(target + ": HTTP request failed: " + e.getCause(), e));
        }
    }
}
