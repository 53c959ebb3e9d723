package org.fuchsiawharf.http.client;

import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;

import io.undertow.util.Headers;
import io.undertow.util.HttpString;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.store.KeyValueStore;
import org.fuchsiawharf.core.store.ReadResult;
import org.fuchsiawharf.core.store.WriteResult;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.BodyCollector.Response;

/**
 * Client of the platform's key-value service. Uses conditional requests (RFC 9110) and the wait preference (RFC 7240).
 *
 * <p>A write that receives no response in time may have been applied. Thread-safe.
 */
public final class HttpKeyValueStore implements KeyValueStore {
    /** The path prefix of the keys. */
    public static final String PATH = "/v1/kv/";

    private static final HttpString PREFER = new HttpString("Prefer");
    private static final long MILLIS_PER_SECOND = 1_000;

    private final HttpClient client;
    private final HttpTarget platform;
    private final long timeoutMillis;

    /**
     * Creates a client of the key-value service.
     *
     * @param client the client to send the requests with, not null
     * @param platform the platform's address, not null
     * @param timeoutMillis the maximum time to wait for a response, in milliseconds
     */
    public HttpKeyValueStore(HttpClient client, HttpTarget platform, long timeoutMillis) {
        this.client = client;
        this.platform = platform;
        this.timeoutMillis = timeoutMillis;
    }

    @Override
    public ReadResult read(String key) {
        return read(key, Map.of(), KeyValueStore.ABSENT, timeoutMillis);
    }

    @Override
    public ReadResult watch(String key, long knownVersion, long waitMillis) {
        Map<HttpString, String> headers =
                Map.of(PREFER, "wait=" + waitMillis / MILLIS_PER_SECOND, Headers.IF_NONE_MATCH, quote(knownVersion));
        return read(key, headers, knownVersion, waitMillis + timeoutMillis);
    }

    private ReadResult read(String key, Map<HttpString, String> headers, long knownVersion, long maxWaitMillis) {
        BodyCollector collector = new BodyCollector();
        HttpCall call = client.get(platform, PATH + key, headers, collector);
        try {
            Response response = collector
                    .getFuture()
                    .orTimeout(maxWaitMillis, TimeUnit.MILLISECONDS)
                    .join();
            return switch (response.status()) {
                case StatusCodes.OK -> ReadResult.found(versionOf(response), Payload.of(response.body()));
                case StatusCodes.NOT_FOUND -> ReadResult.absent();
                case StatusCodes.NOT_MODIFIED -> ReadResult.found(knownVersion, Payload.NULL);
                default -> ReadResult.unavailable();
            };
        } catch (CompletionException e) {
            call.cancel();
            return ReadResult.unavailable();
        }
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
        Map<HttpString, String> headers = expectedVersion == KeyValueStore.ABSENT
                ? Map.of(Headers.IF_NONE_MATCH, "*", Headers.CONTENT_TYPE, WireHeaders.JSON)
                : Map.of(Headers.IF_MATCH, quote(expectedVersion), Headers.CONTENT_TYPE, WireHeaders.JSON);
        BodyCollector collector = new BodyCollector();
        HttpCall call = client.put(platform, PATH + key, headers, value.getBytes(), collector);
        try {
            Response response = collector
                    .getFuture()
                    .orTimeout(timeoutMillis, TimeUnit.MILLISECONDS)
                    .join();
            return switch (response.status()) {
                case StatusCodes.NO_CONTENT -> WriteResult.DONE;
                case StatusCodes.PRECONDITION_FAILED -> WriteResult.CONFLICT;
                // With these codes the service rejects the write without applying it.
                case StatusCodes.TOO_MANY_REQUESTS, StatusCodes.SERVICE_UNAVAILABLE -> WriteResult.UNAVAILABLE;
                default -> WriteResult.UNKNOWN;
            };
        } catch (CompletionException e) {
            call.cancel();
            boolean notSent = e.getCause() instanceof CallBrokenException failure && !failure.isPossiblySent();
            return notSent ? WriteResult.UNAVAILABLE : WriteResult.UNKNOWN;
        }
    }

    private static long versionOf(Response response) {
        String entityTag = response.headers().getFirst(Headers.ETAG);
        return entityTag == null ? KeyValueStore.ABSENT : Long.parseLong(entityTag.replace("\"", ""));
    }

    private static String quote(long version) {
        return "\"" + version + "\"";
    }
}
