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
 * Follows the load reports and cache events of endpoints, over one event stream to each.
 *
 * <p>A broken stream is opened again after a pause. Thread-safe.
 */
public final class EndpointEvents implements AutoCloseable {
    private static final long REOPEN_MILLIS = 500;
    private static final long REPORT_MILLIS = 1_000;

    private final HttpClient client;
    private final EventSink sink;
    private final Map<Endpoint, Follower> followers = new HashMap<>();
    private boolean closed;

    /**
     * Creates a follower of no endpoint.
     *
     * @param client opens the streams, not null
     * @param sink receives the events, not null
     */
    public EndpointEvents(HttpClient client, EventSink sink) {
        this.client = client;
        this.sink = sink;
    }

    /**
     * Follows exactly the listed endpoints.
     *
     * @param statuses the endpoints, not null
     */
    public synchronized void follow(List<EndpointStatus> statuses) {
        Set<Endpoint> listed = new HashSet<>();
        for (EndpointStatus status : statuses) {
            listed.add(status.endpoint());
            if (!closed && !followers.containsKey(status.endpoint())) {
                Follower follower = new Follower(status.endpoint());
                followers.put(status.endpoint(), follower);
                follower.open();
            }
        }
        followers.values().removeIf(follower -> {
            boolean gone = !listed.contains(follower.endpoint);
            if (gone) {
                follower.stop();
            }
            return gone;
        });
    }

    @Override
    public synchronized void close() {
        closed = true;
        followers.values().forEach(Follower::stop);
        followers.clear();
    }

    /** The load of an endpoint as it reports it. */
    private record Load(int running, int waiting, int slots, boolean leaving) {}

    /** A change of an endpoint's prefix cache. */
    private record Cache(long sequence, String prefix, boolean present) {}

    private final class Follower implements HttpHandlerCallbacks {
        private static final int HEX = 16;

        private final Endpoint endpoint;
        private EventStreamParser parser = new EventStreamParser(this::onEvent);
        private volatile boolean stopped;
        private @Nullable HttpCall call;

        private Follower(Endpoint endpoint) {
            this.endpoint = endpoint;
        }

        private synchronized void open() {
            if (!stopped) {
                parser = new EventStreamParser(this::onEvent);
                call = client.get(
                        HttpTarget.of(endpoint),
                        WireHeaders.EVENTS_PATH + "?interval=" + REPORT_MILLIS,
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

        private void reopen() {
            client.getIoThread().executeAfter(this::open, REOPEN_MILLIS, TimeUnit.MILLISECONDS);
        }

        private void onEvent(StreamEvent event) {
            if (event.type().equals("load")) {
                Load load = JsonText.read(event.data(), Load.class);
                sink.publish(new Event.LoadReported(
                        endpoint.name(), load.running(), load.waiting(), load.slots(), load.leaving()));
            } else if (event.type().equals("cache")) {
                Cache cache = JsonText.read(event.data(), Cache.class);
                long key = Long.parseUnsignedLong(cache.prefix(), HEX);
                sink.publish(new Event.CacheChanged(endpoint.name(), cache.sequence(), key, cache.present()));
            }
        }

        @Override
        public void onHead(int status, HeaderMap headers) {}

        @Override
        public void onData(ByteBuffer data) {
            try {
                parser.feed(data);
            } catch (IllegalStateException | UncheckedIOException | NumberFormatException e) {
                // A malformed report tells nothing; the next one may.
                parser = new EventStreamParser(this::onEvent);
            }
        }

        @Override
        public void onEnd() {
            reopen();
        }

        @Override
        public void onFailure(boolean sent, IOException cause) {
            reopen();
        }
    }
}
