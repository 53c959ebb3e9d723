package org.fuchsiawharf.core.stream;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Finds the origins of streams that callers take up, at whichever instance and whatever became of the one before.
 *
 * <p>While a service has one version, it is the origin of all its streams. Otherwise the origin is written to the store
 * soon after the first event, and read from there by the instance at which the stream is taken up. This instance may not
 * have heard of a version that others use, so that the only version that it knows is the origin only once a read of the
 * store that began after the request has confirmed it. An origin that is neither known nor stored stays unknown: it is not
 * guessed. Confined to the decision loop.
 */
public final class StreamOrigins {
    /** Time for which a stream may be taken up after its response has been broken off. */
    private static final long RETENTION_NANOS = 30_000_000_000L;
    /** Time for which the end of a response may still be lost on the way to its caller. */
    private static final long SENT_RETENTION_NANOS = 2_000_000_000L;
    /** Minimum interval between two writes. */
    private static final long WRITE_INTERVAL_NANOS = 100_000_000L;
    /** Delay before a failed write is repeated. */
    private static final long WRITE_RETRY_NANOS = 500_000_000L;
    /** Interval at which reads begin while earlier ones are under way. */
    private static final long READ_INTERVAL_NANOS = 50_000_000L;
    /** Time after which an origin that the store has not returned stays unknown. */
    private static final long READ_TIMEOUT_NANOS = 300_000_000L;

    private static final int MAX_STREAMS = 4_096;

    private final VersionHistory history;
    private final TimerService timers;
    private final Map<String, Stream> streams = new LinkedHashMap<>();
    /** Lookups that wait for the next read, which must begin after them. */
    private final List<Lookup> lookups = new ArrayList<>();

    private OriginStore store = OriginStore.UNAVAILABLE;
    private boolean writeScheduled;
    private int readsUnderWay;
    private boolean readScheduled;
    private long nextReadNanos;
    private long nextWriteNanos;

    private static final class Stream {
        private final StreamOrigin origin;
        private final boolean hasAlternatives;
        private long removeNanos = Long.MAX_VALUE;
        private boolean stored;

        private Stream(StreamOrigin origin, boolean hasAlternatives) {
            this.origin = origin;
            this.hasAlternatives = hasAlternatives;
        }
    }

    private static final class Lookup {
        private final String request;
        private final List<String> services;
        private final Consumer<@Nullable StreamOrigin> callback;
        private boolean ended;

        private Lookup(String request, List<String> services, Consumer<@Nullable StreamOrigin> callback) {
            this.request = request;
            this.services = services;
            this.callback = callback;
        }

        private void end(@Nullable StreamOrigin origin) {
            if (!ended) {
                ended = true;
                callback.accept(origin);
            }
        }
    }

    /**
     * Creates a component without streams.
     *
     * @param history the versions of the services, not null
     * @param timers the timer service, not null
     */
    public StreamOrigins(VersionHistory history, TimerService timers) {
        this.history = history;
        this.timers = timers;
        history.setListener(this::scheduleWrite);
    }

    /**
     * Sets the store, without which only the origins of this instance's own streams are known.
     *
     * @param newStore keeps the origins and the versions, not null
     */
    public void setStore(OriginStore newStore) {
        store = newStore;
        history.setStore(newStore);
    }

    /**
     * Gets the versions of the services.
     *
     * @return the history, never null
     */
    public VersionHistory getHistory() {
        return history;
    }

    /** Writes again what the store has lost, after it has returned from an older copy. */
    public void onStoreRestored() {
        history.onStoreRestored();
        streams.values().forEach(stream -> stream.stored = false);
        scheduleWrite();
    }

    // -----------------------------------------------------------------------

    /**
     * Records that the first event of a response has been forwarded.
     *
     * @param request the id of the request that began the stream, not null
     * @param origin the origin of the stream, not null
     * @param hasAlternatives whether the route has other services than that of the origin
     */
    public void onBegun(String request, StreamOrigin origin, boolean hasAlternatives) {
        removeOld();
        streams.put(request, new Stream(origin, hasAlternatives));
        scheduleWrite();
    }

    /**
     * Records the end of a response whose first event has been forwarded.
     *
     * @param request the id of the request that began the stream, not null
     * @param complete whether the whole stream has been passed to the caller's connection
     */
    public void onEnded(String request, boolean complete) {
        Stream stream = streams.get(request);
        if (stream != null) {
            stream.removeNanos = timers.now() + (complete ? SENT_RETENTION_NANOS : RETENTION_NANOS);
        }
    }

    /**
     * Finds the origin of a stream that is taken up.
     *
     * @param request the id of the request that began the stream, not null
     * @param services the services of the route, not null
     * @param callback receives the origin, null if it is unknown; called once, possibly at once
     */
    public void find(String request, List<String> services, Consumer<@Nullable StreamOrigin> callback) {
        Stream stream = streams.get(request);
        if (stream != null) {
            callback.accept(stream.origin);
        } else if (request.isEmpty() && getSoleOrigin(services) == null) {
            callback.accept(null);
        } else {
            Lookup lookup = new Lookup(request, services, callback);
            lookups.add(lookup);
            timers.schedule(timers.now() + READ_TIMEOUT_NANOS, () -> lookup.end(null));
            read();
        }
    }

    private @Nullable StreamOrigin getSoleOrigin(List<String> services) {
        String soleVersion = services.size() == 1 ? history.getSoleVersion(services.get(0)) : null;
        return soleVersion == null ? null : new StreamOrigin(services.get(0), soleVersion);
    }

    // A lookup that waited for the end of a slow read would have no time left for its own.
    private void read() {
        if (readsUnderWay == 0 || timers.now() >= nextReadNanos) {
            startRead();
        } else if (!readScheduled) {
            readScheduled = true;
            timers.schedule(nextReadNanos, () -> {
                readScheduled = false;
                readIfAwaited();
            });
        }
    }

    private void readIfAwaited() {
        if (!lookups.isEmpty()) {
            read();
        }
    }

    private void startRead() {
        readsUnderWay++;
        nextReadNanos = timers.now() + READ_INTERVAL_NANOS;
        List<Lookup> current = List.copyOf(lookups);
        lookups.clear();
        store.readOrigins(origins -> onRead(current, origins));
    }

    private void onRead(List<Lookup> current, @Nullable Map<String, StreamOrigin> origins) {
        readsUnderWay--;
        current.forEach(lookup -> lookup.end(origins == null ? null : resolve(lookup, origins)));
        readIfAwaited();
    }

    private @Nullable StreamOrigin resolve(Lookup lookup, Map<String, StreamOrigin> origins) {
        StreamOrigin stored = origins.get(lookup.request);
        return stored != null ? stored : getSoleOrigin(lookup.services);
    }

    // -----------------------------------------------------------------------

    private void removeOld() {
        long now = timers.now();
        streams.values().removeIf(stream -> now > stream.removeNanos);
        while (streams.size() >= MAX_STREAMS) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    private boolean isAmbiguous(Stream stream) {
        return stream.hasAlternatives || history.getSoleVersion(stream.origin.service()) == null;
    }

    private void scheduleWrite() {
        if (!writeScheduled && streams.values().stream().anyMatch(stream -> !stream.stored && isAmbiguous(stream))) {
            writeScheduled = true;
            timers.schedule(Math.max(timers.now(), nextWriteNanos), this::write);
        }
    }

    private void write() {
        removeOld();
        Map<String, StreamOrigin> origins = new HashMap<>();
        List<Stream> written = new ArrayList<>();
        streams.forEach((request, stream) -> {
            if (isAmbiguous(stream)) {
                origins.put(request, stream.origin);
                written.add(stream);
            }
        });
        store.writeOrigins(origins, stored -> {
            writeScheduled = false;
            nextWriteNanos = timers.now() + (stored ? WRITE_INTERVAL_NANOS : WRITE_RETRY_NANOS);
            written.forEach(stream -> stream.stored = stored);
            scheduleWrite();
        });
    }
}
