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
 * Calls a server and waits for its answer.
 *
 * <p>Thread-safe.
 */
final class RemoteCalls {
    private static final long TIMEOUT_SECONDS = 30;

    private RemoteCalls() {}

    /**
     * Sends a GET request.
     *
     * @param client sends it, not null
     * @param target where to, not null
     * @param path the path, not null
     * @param headers the header fields, not null
     * @return the response, never null
     * @throws UncheckedIOException if there is none
     */
    static Response get(HttpClient client, HttpTarget target, String path, Map<HttpString, String> headers) {
        BodyCollector collector = new BodyCollector();
        client.get(target, path, headers, collector);
        return await(collector, target);
    }

    /**
     * Sends a POST request.
     *
     * @param client sends it, not null
     * @param target where to, not null
     * @param path the path, not null
     * @param headers the header fields, not null
     * @param body the body, not null
     * @return the response, never null
     * @throws UncheckedIOException if there is none
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
            throw new UncheckedIOException(new IOException(target + " can't be reached: " + e.getCause(), e));
        }
    }
}
