package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.EventStreamParser.StreamEvent;
import org.jspecify.annotations.Nullable;

/**
 * Publishes the load reports and cache events of endpoints, received over one event stream per endpoint.
 *
 * <p>A stream that ends or fails is reopened after a delay. Thread-safe.
 */
public final class EndpointEvents implements AutoCloseable {
    private static final long REOPEN_DELAY_MILLIS = 500;
    private static final long REPORT_INTERVAL_MILLIS = 1_000;

    private final HttpClient client;
    private final EventSink sink;
    private final Map<Endpoint, Subscription> subscriptions = new HashMap<>();
    private boolean closed;

    /**
     * Creates a follower without endpoints.
     *
     * @param client the client to open the streams with, not null
     * @param sink receives the events, not null
     */
    public EndpointEvents(HttpClient client, EventSink sink) {
        this.client = client;
        this.sink = sink;
    }

    /**
     * Sets the endpoints to follow; opens the streams of new endpoints and closes those of removed ones.
     *
     * @param statuses the endpoints, not null
     */
    public synchronized void setEndpoints(List<EndpointStatus> statuses) {
        Set<Endpoint> listed = new HashSet<>();
        for (EndpointStatus status : statuses) {
            listed.add(status.endpoint());
            if (!closed && !subscriptions.containsKey(status.endpoint())) {
                Subscription subscription = new Subscription(status.endpoint());
                subscriptions.put(status.endpoint(), subscription);
                subscription.open();
            }
        }
        subscriptions.values().removeIf(subscription -> {
            boolean removed = !listed.contains(subscription.endpoint);
            if (removed) {
                subscription.stop();
            }
            return removed;
        });
    }

    @Override
    public synchronized void close() {
        closed = true;
        subscriptions.values().forEach(Subscription::stop);
        subscriptions.clear();
    }

    /** The load reported by an endpoint. */
    private record Load(int running, int waiting, int slots, boolean leaving) {}

    /** A change of an endpoint's prefix cache. */
    private record Cache(long sequence, String prefix, boolean present) {}

    private final class Subscription implements HttpResponseHandler {
        private static final int HEX_RADIX = 16;

        private final Endpoint endpoint;
        private EventStreamParser parser = new EventStreamParser(this::onEvent);
        private volatile boolean stopped;
        private @Nullable HttpCall call;

        private Subscription(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        private synchronized void open() {
            if (!stopped) {
                parser = new EventStreamParser(this::onEvent);
                call = client.get(
                        HttpTarget.of(endpoint),
                        WireHeaders.EVENTS_PATH + "?interval=" + REPORT_INTERVAL_MILLIS,
                        Map.of(Headers.ACCEPT, WireHeaders.EVENT_STREAM),
                        this);
            }
        }

        private synchronized void stop() {
            stopped = true;
            if (call != null) {
                call.cancel();
            }
        }

        private void scheduleReopen() {
            client.getIoThread().executeAfter(this::open, REOPEN_DELAY_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void onEvent(StreamEvent event) {
            if (event.type().equals("load")) {
                Load load = JsonText.read(event.data(), Load.class);
                sink.publish(new Event.LoadReported(
                        endpoint.name(), load.running(), load.waiting(), load.slots(), load.leaving()));
            } else if (event.type().equals("cache")) {
                Cache cache = JsonText.read(event.data(), Cache.class);
                long prefixKey = Long.parseUnsignedLong(cache.prefix(), HEX_RADIX);
                sink.publish(new Event.CacheChanged(endpoint.name(), cache.sequence(), prefixKey, cache.present()));
            }
        }

        @Override
        public void onHead(int status, HeaderMap headers) {}

        @Override
        public void onData(ByteBuffer data) {
            try {
                parser.feed(data);
            } catch (IllegalStateException | UncheckedIOException | NumberFormatException e) {
                // A malformed event is dropped, and parsing restarts with the next part of the stream.
                parser = new EventStreamParser(this::onEvent);
            }
        }

        @Override
        public void onEnd() {
            scheduleReopen();
        }

        @Override
        public void onFailure(boolean possiblySent, IOException cause) {
            scheduleReopen();
        }
    }
}
