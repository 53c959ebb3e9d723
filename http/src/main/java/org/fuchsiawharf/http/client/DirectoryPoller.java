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
 * Polls the platform's list of live and leaving endpoints.
 *
 * <p>If the list can't be read, the receiver is not called and the previous list stays in force. An unchanged list
 * is not transferred again, by conditional requests (RFC 9110). Thread-safe.
 */
public final class DirectoryPoller implements AutoCloseable {
    private final HttpClient client;
    private final HttpTarget platform;
    private final long intervalMillis;
    private final Consumer<List<EndpointStatus>> receiver;
    private volatile @Nullable String lastEntityTag;
    private volatile boolean closed;

    /**
     * Creates a poller, which is started by {@link #start}.
     *
     * @param client the client to send the requests with, not null
     * @param platform the platform's address, not null
     * @param intervalMillis the time between a response and the next request, in milliseconds
     * @param receiver receives each changed list on an I/O thread, not null
     */
    public DirectoryPoller(
            HttpClient client, HttpTarget platform, long intervalMillis, Consumer<List<EndpointStatus>> receiver) {
        this.client = client;
        this.platform = platform;
        this.intervalMillis = intervalMillis;
        this.receiver = receiver;
    }

    /** One entry of the platform's list. */
    private record ListedEndpoint(String name, String service, String zone, String host, int port, String state) {
        private EndpointStatus toStatus() {
            return new EndpointStatus(new Endpoint(name, service, zone, host, port), "leaving".equals(state));
        }
    }

    /** The platform's list. */
    private record Listing(List<ListedEndpoint> instances) {}

    /** Requests the list, and schedules the next request after the response. */
    public void start() {
        if (closed) {
            return;
        }
        BodyCollector collector = new BodyCollector();
        collector.getFuture().whenComplete((response, error) -> {
            if (error == null && response.status() == StatusCodes.OK && publishList(response.body())) {
                lastEntityTag = response.headers().getFirst(Headers.ETAG);
            }
            client.getIoThread().executeAfter(this::start, intervalMillis, TimeUnit.MILLISECONDS);
        });
        String entityTag = lastEntityTag;
        client.get(
                platform,
                WireHeaders.INSTANCES_PATH,
                entityTag == null ? Map.of() : Map.of(Headers.IF_NONE_MATCH, entityTag),
                collector);
    }

    @Override
    public void close() {
        closed = true;
    }

    private boolean publishList(byte[] body) {
        try {
            Listing listing = JsonText.read(new String(body, StandardCharsets.UTF_8), Listing.class);
            receiver.accept(
                    listing.instances().stream().map(ListedEndpoint::toStatus).toList());
            return true;
        } catch (UncheckedIOException | ArgumentException e) {
            // A malformed list is treated as a failed read, so that the previous list stays in force.
            System.getLogger(DirectoryPoller.class.getName())
                    .log(System.Logger.Level.WARNING, "ignoring malformed directory response: " + e.getMessage());
            return false;
        }
    }
}
