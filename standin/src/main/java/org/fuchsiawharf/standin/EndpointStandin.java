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
 * One endpoint: an HTTP server in front of a model of its behaviour.
 *
 * <p>Load reports and cache events go out late, and some cache events are lost. Thread-safe.
 */
public final class EndpointStandin implements AutoCloseable {
    private static final long REPORT_MILLIS = 200;
    private static final long REPORT_LAG_MILLIS = 200;
    private static final double CACHE_EVENT_LOSS = 0.02;

    private final StandinRuntime runtime;
    private final Faults faults = new Faults();
    private final Ledger ledger;
    private final EndpointModel model;
    private final Undertow server;
    private final Endpoint endpoint;
    private final Set<ServerConnection> connections = ConcurrentHashMap.newKeySet();
    // Each subscriber with the number of reports between two that it wants.
    private final Map<ServerSentEventConnection, Long> subscribers = new ConcurrentHashMap<>();
    private long nextReport;
    private final ScheduledFuture<?> reports;
    private final SplittableRandom random;
    private long cacheSequence;
    private volatile boolean closed;

    /**
     * Starts an endpoint.
     *
     * @param runtime its threads, not null
     * @param name its name, not null
     * @param zone its availability zone, not null
     * @param port its TCP port, 0 for any free one
     * @param profile its behaviour, not null
     * @param ledger where its runs are noted, not null
     * @param seed the seed of its jitter and losses
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
        int bound = ((InetSocketAddress) server.getListenerInfo().get(0).getAddress()).getPort();
        this.endpoint = new Endpoint(name, profile.service(), zone, "127.0.0.1", bound);
        this.reports = runtime.getScheduler()
                .scheduleAtFixedRate(this::report, REPORT_MILLIS, REPORT_MILLIS, TimeUnit.MILLISECONDS);
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the endpoint's address and place.
     *
     * @return the endpoint, never null
     */
    public Endpoint getEndpoint() {
        return endpoint;
    }

    /**
     * Gets the switches of its faults.
     *
     * @return the faults, never null
     */
    public Faults getFaults() {
        return faults;
    }

    /** Dies: the listener and every connection are closed at once. */
    @Override
    public void close() {
        closed = true;
        reports.cancel(false);
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
        exchange.getRequestReceiver().receiveFullBytes((read, body) -> {
            StageTask task;
            try {
                task = StageTask.read(read, stage, body);
            } catch (UncheckedIOException e) {
                read.setStatusCode(StatusCodes.BAD_REQUEST);
                read.getResponseSender().send("the body is not JSON\n");
                return;
            }
            read.dispatch(SameThreadExecutor.INSTANCE, () -> submit(read, task));
        });
    }

    private void submit(HttpServerExchange exchange, StageTask task) {
        HttpCallSink sink = new HttpCallSink(exchange, task, faults, model);
        sink.watch();
        model.submit(task, sink);
    }

    private void onLedger(HttpServerExchange exchange) {
        exchange.getResponseSender().send(JsonText.write(ledger.toPage()));
    }

    // -----------------------------------------------------------------------

    /** The faults that an operator of a test sets; an absent one stays as it is. */
    private record FaultOrder(
            @Nullable Double slowFactor,
            @Nullable Boolean reportsIdle,
            @Nullable Boolean leaving,
            Faults.@Nullable Answer answer) {}

    private void onFaults(HttpServerExchange exchange) {
        exchange.getRequestReceiver().receiveFullBytes((read, body) -> {
            FaultOrder order = JsonText.read(new String(body, StandardCharsets.UTF_8), FaultOrder.class);
            if (order.slowFactor() != null) {
                faults.setSlowFactor(order.slowFactor());
            }
            if (order.reportsIdle() != null) {
                faults.setReportsIdle(order.reportsIdle());
            }
            if (order.leaving() != null) {
                faults.setLeaving(order.leaving());
            }
            if (order.answer() != null) {
                faults.setAnswer(order.answer());
            }
            read.getResponseSender().send("ok\n");
        });
    }

    // -----------------------------------------------------------------------

    private void onSubscribe(ServerSentEventConnection connection) {
        Deque<String> interval = connection.getQueryParameters().get("interval");
        long wanted = interval == null ? REPORT_MILLIS : Long.parseLong(interval.getFirst());
        subscribers.put(connection, Math.max(1, wanted / REPORT_MILLIS));
        connection.addCloseTask(subscribers::remove);
        if (closed) {
            IoUtils.safeClose(connection);
        }
    }

    private void report() {
        long number = nextReport++;
        if (!closed && !subscribers.isEmpty()) {
            sendLater("load", JsonText.write(model.getLoad()), number);
        }
    }

    private synchronized void onCacheChange(String prefix, boolean present) {
        record Change(long sequence, String prefix, boolean present) {}
        Change change = new Change(cacheSequence++, prefix, present);
        if (random.nextDouble() >= CACHE_EVENT_LOSS) {
            sendLater("cache", JsonText.write(change), 0);
        }
    }

    private void sendLater(String type, String data, long number) {
        runtime.getScheduler().schedule(() -> send(type, data, number), REPORT_LAG_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void send(String type, String data, long number) {
        subscribers.forEach((subscriber, every) -> {
            if (number % every == 0) {
                subscriber.send(data, type, null, null);
            }
        });
    }
}
