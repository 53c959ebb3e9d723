package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
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
 * Endpoints that crash when they begin to answer a request with a certain prompt part, and restart.
 *
 * <p>All calls to an engine are lost when it crashes. A restarted engine has a new name, or its old name and a new
 * incarnation. Confined to the test's thread.
 */
final class CrashingEngines implements EndpointCalls {
    static final String CRASHING_PART = "crash";

    private static final long MILLI = 1_000_000L;
    private static final long RESTART_MILLIS = 2_500;
    private static final long CRASH_MILLIS = 60;
    private static final long CONNECT_MILLIS = 3;

    /** The times of the crashes by a prompt part, in milliseconds. */
    final List<Long> crashMillis = new ArrayList<>();
    /** The times at which requests with the crashing part were sent to a running engine, in milliseconds. */
    final List<Long> crashingSendMillis = new ArrayList<>();
    /** The exchanges whose response has begun. */
    final Set<CallerExchange> begun = new HashSet<>();

    private final TimerService timers;
    private final String service;
    private final boolean keepsNames;
    private final SplittableRandom random;
    private final Map<CallerExchange, List<String>> parts = new IdentityHashMap<>();
    private final String[] names;
    private final long[] incarnations;
    private final List<Running> running = new ArrayList<>();
    private final Set<String> down = new HashSet<>();
    private int starts = 1;
    private Runnable onListed = () -> {};

    private final class Running implements Call {
        private final String engine;
        private final CallerExchange exchange;
        private final boolean stream;
        private final Listener listener;
        private boolean open = true;

        private Running(String engine, CallerExchange exchange, boolean stream, Listener listener) {
            this.engine = engine;
            this.exchange = exchange;
            this.stream = stream;
            this.listener = listener;
        }

        @Override
        public void cancel() {
            end();
        }

        @Override
        public long getLastReceivedNanos() {
            return timers.now();
        }

        private boolean end() {
            boolean wasOpen = open;
            open = false;
            running.remove(this);
            return wasOpen;
        }

        private void begin() {
            if (!open) {
                return;
            }
            begun.add(exchange);
            if (stream) {
                listener.onStreamStarted();
            }
            if (parts.getOrDefault(exchange, List.of()).contains(CRASHING_PART)) {
                after(CRASH_MILLIS, this::crash);
            } else {
                after(100 + random.nextInt(1_200), this::complete);
            }
        }

        private void complete() {
            if (!end()) {
                return;
            }
            if (stream) {
                listener.onStreamEnded(10);
            } else {
                listener.onResponse(() -> 200);
            }
        }

        private void crash() {
            if (open) {
                crashMillis.add(nowMillis());
                CrashingEngines.this.crash(engine);
            }
        }
    }

    CrashingEngines(TimerService timers, int count, long seed) {
        this(timers, "engine", count, false, seed);
    }

    CrashingEngines(TimerService timers, String service, int count, boolean keepsNames, long seed) {
        this.timers = timers;
        this.service = service;
        this.keepsNames = keepsNames;
        this.random = new SplittableRandom(seed);
        this.names = new String[count];
        this.incarnations = new long[count];
        for (int i = 0; i < count; i++) {
            names[i] = "g" + i + "-1";
            incarnations[i] = 1;
        }
    }

    /** Sets the action that lists the engines again after a restart. */
    void setOnListed(Runnable action) {
        onListed = action;
    }

    /** Registers the prompt parts of a request before it is sent. */
    void onRequest(CallerExchange exchange, List<String> promptParts) {
        parts.put(exchange, promptParts);
    }

    List<EndpointStatus> list() {
        List<EndpointStatus> listing = new ArrayList<>();
        for (int i = 0; i < names.length; i++) {
            Endpoint endpoint = new Endpoint(names[i], service, "a", "10.0.0." + i, 80);
            listing.add(new EndpointStatus(endpoint, false, incarnations[i]));
        }
        return listing;
    }

    /** Ends an engine, whatever the reason. */
    void crash(String engine) {
        int index = List.of(names).indexOf(engine);
        if (index < 0 || down.contains(engine)) {
            return;
        }
        down.add(engine);
        for (Running call : List.copyOf(running)) {
            if (call.engine.equals(engine) && call.end()) {
                call.listener.onFailed(CallFailure.LOST, "the engine crashed");
            }
        }
        after(RESTART_MILLIS, () -> {
            starts++;
            if (keepsNames) {
                incarnations[index] = starts;
                down.remove(engine);
            } else {
                names[index] = "g" + index + "-" + starts;
            }
            onListed.run();
        });
    }

    @Override
    public Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener) {
        Running call = new Running(endpoint.name(), exchange, terms.stream(), listener);
        if (down.contains(endpoint.name()) || !List.of(names).contains(endpoint.name())) {
            after(CONNECT_MILLIS, () -> {
                if (call.end()) {
                    listener.onFailed(CallFailure.NOT_SENT, "connection refused");
                }
            });
            return call;
        }
        if (parts.getOrDefault(exchange, List.of()).contains(CRASHING_PART)) {
            crashingSendMillis.add(nowMillis());
        }
        running.add(call);
        after(50 + random.nextInt(400), call::begin);
        return call;
    }

    private long nowMillis() {
        return timers.now() / MILLI;
    }

    private void after(long millis, Runnable action) {
        timers.schedule(timers.now() + millis * MILLI, action);
    }
}
