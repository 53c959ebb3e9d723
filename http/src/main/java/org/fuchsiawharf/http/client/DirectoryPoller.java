package org.fuchsiawharf.http.client;

import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Reads the platform's list of live and leaving endpoints at a fixed interval.
 *
 * <p>When the list can't be read, nothing is reported and the last list stays in force. A list
 * that has not changed is not sent again (conditional requests of RFC 9110). Thread-safe.
 */
public final class DirectoryPoller implements AutoCloseable {
    private final HttpClient client;
    private final HttpTarget platform;
    private final long intervalMillis;
    private final Consumer<List<EndpointStatus>> receiver;
    private volatile @Nullable String lastTag;
    private volatile boolean closed;

    /**
     * Creates a poller; {@link #start} runs it.
     *
     * @param client sends the requests, not null
     * @param platform the platform's address, not null
     * @param intervalMillis the pause between two reads, in milliseconds
     * @param receiver receives each list on an I/O thread, not null
     */
    public DirectoryPoller(
            HttpClient client, HttpTarget platform, long intervalMillis, Consumer<List<EndpointStatus>> receiver) {
        this.client = client;
        this.platform = platform;
        this.intervalMillis = intervalMillis;
        this.receiver = receiver;
    }

    /** One line of the platform's list. */
    private record Listed(String name, String service, String zone, String host, int port, String state) {
        private EndpointStatus toStatus() {
            return new EndpointStatus(new Endpoint(name, service, zone, host, port), "leaving".equals(state));
        }
    }

    /** The platform's list. */
    private record Listing(List<Listed> instances) {}

    /** Reads the list now and from then on. */
    public void start() {
        if (closed) {
            return;
        }
        BodyCollector collector = new BodyCollector();
        collector.getFuture().whenComplete((response, error) -> {
            if (error == null && response.status() == StatusCodes.OK && report(response.body())) {
                lastTag = response.headers().getFirst(Headers.ETAG);
            }
            client.getIoThread().executeAfter(this::start, intervalMillis, TimeUnit.MILLISECONDS);
        });
        String known = lastTag;
        client.get(
                platform,
                WireHeaders.INSTANCES_PATH,
                known == null ? Map.of() : Map.of(Headers.IF_NONE_MATCH, known),
                collector);
    }

    @Override
    public void close() {
        closed = true;
    }

    private boolean report(byte[] body) {
        try {
            Listing listing = JsonText.read(new String(body, StandardCharsets.UTF_8), Listing.class);
            receiver.accept(listing.instances().stream().map(Listed::toStatus).toList());
            return true;
        } catch (UncheckedIOException | ArgumentException e) {
            // A malformed list is a failure to read; it tells nothing about endpoints.
            System.getLogger(DirectoryPoller.class.getName())
                    .log(System.Logger.Level.WARNING, "directory answer is malformed: " + e.getMessage());
            return false;
        }
    }
}
