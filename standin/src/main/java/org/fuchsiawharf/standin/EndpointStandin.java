package org.fuchsiawharf.standin;

import java.io.UncheckedIOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;
import org.xnio.Options;

/**
 * Simulated endpoint: an HTTP server in front of an endpoint model.
 *
 * <p>Load reports and cache events are delayed, and a share of the cache events is dropped. Thread-safe.
 */
public final class EndpointStandin implements AutoCloseable {
    private static final long REPORT_INTERVAL_MILLIS = 200;
    private static final long EVENT_DELAY_MILLIS = 200;
    private static final double CACHE_EVENT_LOSS_RATE = 0.02;

    private final StandinRuntime runtime;
    private final Faults faults = new Faults();
    private final Ledger ledger;
    private final EndpointModel model;
    private final Undertow server;
    private final Endpoint endpoint;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    // Subscribers with their report interval in multiples of REPORT_INTERVAL_MILLIS.
    private final Map<ServerSentEventConnection, Long> subscribers = new ConcurrentHashMap<>();
    private long nextReportNumber;
    private final ScheduledFuture<?> reportTask;
    private final SplittableRandom random;
    private long nextCacheSequence;
    private volatile boolean closed;

    /**
     * Starts an endpoint.
     *
     * @param runtime the threads of the simulation, not null
     * @param name the endpoint's name, not null
     * @param zone the endpoint's availability zone, not null
     * @param port the TCP port, 0 for any free port
     * @param profile the profile of the endpoint's service, not null
     * @param ledger the ledger that records the runs, not null
     * @param seed the random seed of jitter and event loss
     */
    public EndpointStandin(
            StandinRuntime runtime,
            String name,
            String zone,
            int port,
            ServiceProfile profile,
            Ledger ledger,
            long seed) {
        this.runtime = runtime;
        this.ledger = ledger;
        this.random = new SplittableRandom(seed);
        this.model = profile.kind() == ServiceProfile.Kind.ENGINE
                ? new EngineModel(name, profile, faults, ledger, runtime.getScheduler(), this::onCacheChange)
                : new PoolModel(name, profile, faults, ledger, runtime.getScheduler(), seed + 1);
        this.server = Undertow.builder()
                .setWorker(runtime.getWorker())
                .addHttpListener(port, "127.0.0.1")
                .setSocketOption(Options.BACKLOG, 1_024)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setHandler(Handlers.routing()
                        .post("/v1/stages/{stage}", this::onStage)
                        .get("/v1/events", Handlers.serverSentEvents((connection, id) -> onSubscribe(connection)))
                        .post("/standin/faults", this::onFaults)
                        .get("/standin/ledger", this::onLedger))
                .build();
        server.start();
        int boundPort = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
        this.endpoint = new Endpoint(name, profile.service(), zone, "127.0.0.1", boundPort);
        this.reportTask = runtime.getScheduler()
                .scheduleAtFixedRate(
                        this::report, REPORT_INTERVAL_MILLIS, REPORT_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the endpoint's name, service, zone and address.
     *
     * @return the endpoint, never null
     */
    public Endpoint getEndpoint() {
        return endpoint;
    }

    /**
     * Gets the injected faults.
     *
     * @return the faults, never null
     */
    public Faults getFaults() {
        return faults;
    }

    /** Stops abruptly: closes the listener and all connections without draining. */
    @Override
    public void close() {
        closed = true;
        reportTask.cancel(false);
        server.stop();
        connections.forEach(IoUtils::safeClose);
    }

    // -----------------------------------------------------------------------

    private void track(HttpServerExchange exchange) {
        ServerConnection connection = exchange.getConnection();
        if (connections.add(connection)) {
            connection.addCloseListener(connections::remove);
        }
        if (closed) {
            IoUtils.safeClose(connection);
        }
    }

    private void onStage(HttpServerExchange exchange) {
        track(exchange);
        String stage = exchange.getRequestPath().substring(WireHeaders.STAGES_PATH.length());
        exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
            StageTask task;
            try {
                task = StageTask.read(received, stage, body);
            } catch (UncheckedIOException e) {
                received.setStatusCode(StatusCodes.BAD_REQUEST);
                received.getResponseSender().send("the body is not JSON\n");
                return;
            }
            received.dispatch(SameThreadExecutor.INSTANCE, () -> submit(received, task));
        });
    }

    private void submit(HttpServerExchange exchange, StageTask task) {
        HttpCallSink sink = new HttpCallSink(exchange, task, faults, model);
        sink.watchConnection();
        model.submit(task, sink);
    }

    private void onLedger(HttpServerExchange exchange) {
        exchange.getResponseSender().send(JsonText.write(ledger.toPage()));
    }

    // -----------------------------------------------------------------------

    /** Faults set by a test; a null component leaves the fault unchanged. */
    private record FaultOrder(
            @Nullable Double slowFactor,
            @Nullable Boolean reportsIdle,
            @Nullable Boolean leaving,
            Faults.@Nullable ResponseMode answer) {}

    private void onFaults(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((received, body) -> {
            FaultOrder settings = JsonText.read(new String(body, StandardCharsets.UTF_8), FaultOrder.class);
            if (settings.slowFactor() != null) {
                faults.setSlowFactor(settings.slowFactor());
            }
            if (settings.reportsIdle() != null) {
                faults.setReportsIdle(settings.reportsIdle());
            }
            if (settings.leaving() != null) {
                faults.setLeaving(settings.leaving());
            }
            if (settings.answer() != null) {
                faults.setResponseMode(settings.answer());
            }
            received.getResponseSender().send("ok\n");
        });
    }

    // -----------------------------------------------------------------------

    private void onSubscribe(ServerSentEventConnection connection) {
        Deque<String> interval = connection.getQueryParameters().get("interval");
        long intervalMillis = interval == null ? REPORT_INTERVAL_MILLIS : Long.parseLong(interval.getFirst());
        subscribers.put(connection, Math.max(1, intervalMillis / REPORT_INTERVAL_MILLIS));
        connection.addCloseTask(subscribers::remove);
        if (closed) {
            IoUtils.safeClose(connection);
        }
    }

    private void report() {
        long reportNumber = nextReportNumber++;
        if (!closed && !subscribers.isEmpty()) {
            sendDelayed("load", JsonText.write(model.getLoad()), reportNumber);
        }
    }

    private synchronized void onCacheChange(String prefix, boolean present) {
        record CacheChange(long sequence, String prefix, boolean present) {}
        CacheChange cacheChange = new CacheChange(nextCacheSequence++, prefix, present);
        if (random.nextDouble() >= CACHE_EVENT_LOSS_RATE) {
            sendDelayed("cache", JsonText.write(cacheChange), 0);
        }
    }

    private void sendDelayed(String type, String data, long reportNumber) {
        runtime.getScheduler()
                .schedule(() -> send(type, data, reportNumber), EVENT_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void send(String type, String data, long reportNumber) {
        subscribers.forEach((subscriber, reportPeriod) -> {
            if (reportNumber % reportPeriod == 0) {
                subscriber.send(data, type, null, null);
            }
        });
    }
}
