package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Engines of several software versions, which record the versions that have written events of each stream.
 *
 * <p>Confined to the test's thread.
 */
final class VersionedEngines {
    private static final long MILLI = 1_000_000L;
    private static final int SLOTS = 20;

    /** The versions that have written events of each stream, by the id of its first request. */
    final Map<String, Set<String>> versionsByStream = new HashMap<>();

    /** The version that has written events of each exchange. */
    final Map<CallerExchange, String> versionsByExchange = new IdentityHashMap<>();

    private final TimerService timers;
    private final SplittableRandom random;
    private final List<EndpointStatus> listed = new ArrayList<>();
    private final List<Running> running = new ArrayList<>();
    private final Map<CallerExchange, String> streams = new IdentityHashMap<>();
    private int starts;

    /** The calls of one instance, which all end when it is killed. */
    final class Calls implements EndpointCalls {
        private boolean killed;

        @Override
        public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
            Running call = new Running(this, exchange, endpoint, listener);
            if (!killed) {
                running.add(call);
                after(50 + random.nextInt(250), call::begin);
            }
            return call;
        }

        void kill() {
            killed = true;
            running.removeIf(call -> call.calls == this);
        }
    }

    private final class Running implements EndpointCalls.Call {
        private final Calls calls;
        private final CallerExchange exchange;
        private final Endpoint endpoint;
        private final EndpointCalls.Listener listener;

        private Running(Calls calls, CallerExchange exchange, Endpoint endpoint, EndpointCalls.Listener listener) {
            this.calls = calls;
            this.exchange = exchange;
            this.endpoint = endpoint;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            running.remove(this);
        }

        @Override
        public long getLastReceivedNanos() {
            return timers.now();
        }

        private void begin() {
            if (!running.contains(this)) {
                return;
            }
            String version = versionOf(endpoint.name());
            if (version.isEmpty() || load(endpoint) > SLOTS) {
                running.remove(this);
                listener.onFailed(version.isEmpty() ? CallFailure.NOT_SENT : CallFailure.REFUSED, "test");
                return;
            }
            versionsByStream
                    .computeIfAbsent(streams.getOrDefault(exchange, ""), stream -> new HashSet<>())
                    .add(version);
            versionsByExchange.put(exchange, version);
            listener.onStreamStarted();
            after(300 + random.nextInt(2_000), this::end);
        }

        private void end() {
            if (!running.remove(this)) {
                return;
            }
            if (random.nextInt(10) == 0) {
                listener.onFailed(CallFailure.LOST, "the connection was reset");
            } else {
                listener.onStreamEnded(10);
            }
        }
    }

    VersionedEngines(TimerService timers, long seed) {
        this.timers = timers;
        this.random = new SplittableRandom(seed);
    }

    /** Registers the first request of the stream of a request before it is sent. */
    void onRequest(CallerExchange exchange, String firstRequest) {
        streams.put(exchange, firstRequest);
    }

    boolean hasBegun(String stream) {
        return versionsByStream.containsKey(stream);
    }

    void start(String version, int count) {
        for (int i = 0; i < count; i++) {
            String name = "g-" + ++starts;
            Endpoint endpoint = new Endpoint(name, "engine", "a", "10.0.0." + starts, 80);
            listed.add(new EndpointStatus(endpoint, false, starts, version));
        }
    }

    /** Ends engines of a version; their calls are lost. */
    void end(String version, int count) {
        for (int i = 0; i < count; i++) {
            EndpointStatus ended = listed.stream()
                    .filter(status -> status.version().equals(version))
                    .findFirst()
                    .orElseThrow();
            listed.remove(ended);
            for (Running call : List.copyOf(running)) {
                if (call.endpoint.equals(ended.endpoint()) && running.remove(call)) {
                    call.listener.onFailed(CallFailure.LOST, "the engine ended");
                }
            }
        }
    }

    List<EndpointStatus> list() {
        return List.copyOf(listed);
    }

    int count(String version) {
        return (int) listed.stream().filter(s -> s.version().equals(version)).count();
    }

    private long load(Endpoint endpoint) {
        return running.stream().filter(call -> call.endpoint.equals(endpoint)).count();
    }

    private String versionOf(String name) {
        return listed.stream()
                .filter(status -> status.endpoint().name().equals(name))
                .map(EndpointStatus::version)
                .findFirst()
                .orElse("");
    }

    private void after(long millis, Runnable action) {
        timers.schedule(timers.now() + millis * MILLI, action);
    }
}
