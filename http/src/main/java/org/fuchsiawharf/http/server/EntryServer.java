package org.fuchsiawharf.http.server;

import java.net.InetSocketAddress;
import java.util.function.Supplier;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.HttpHandler;
import io.undertow.server.RoutingHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.config.ConfigService;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.time.Clock;
import org.xnio.Options;

/**
 * The HTTP server of an entry instance.
 *
 * <p>Serves callers, operators, health checks and metrics. Thread-safe.
 */
public final class EntryServer implements AutoCloseable {
    private static final int HEADER_TIMEOUT_MILLIS = 5_000;
    private static final int IDLE_TIMEOUT_MILLIS = 180_000;
    private static final int MAX_HEADER_BYTES = 16 * 1024;
    private static final long MAX_DISCARDED_BYTES = 32L << 20;
    private static final int MAX_HEADERS = 64;
    private static final int OPERATOR_THREADS = 4;
    private static final int ACCEPT_BACKLOG = 1_024;

    private final Undertow undertow;

    /**
     * The parts of the instance that a server uses.
     *
     * @param sink receives the requests as events
     * @param config the configuration in force
     * @param configService plans and confirms changes of the configuration
     * @param clock the clock of the decision loop
     * @param readiness whether the instance accepts new requests
     * @param metrics renders the metrics as text
     */
    public record Dependencies(
            EventSink sink,
            Supplier<ServingConfig> config,
            ConfigService configService,
            Clock clock,
            Readiness readiness,
            Supplier<String> metrics) {}

    /**
     * Starts a server.
     *
     * @param host the IP address to listen on, not null
     * @param port the TCP port, 0 to choose a free port
     * @param ioThreads the number of I/O threads, at least 1
     * @param limits the limits on callers, not null
     * @param operators the operators that may use the operators' routes, not null
     * @param dependencies the parts of the instance that the server uses, not null
     */
    public EntryServer(
            String host,
            int port,
            int ioThreads,
            ServerLimits limits,
            OperatorAuthenticator operators,
            Dependencies dependencies) {
        EventSink sink = dependencies.sink();
        RequestReader requestReader = new RequestReader(dependencies.clock(), limits);
        CallerHandler callerHandler = new CallerHandler(sink, dependencies.config(), requestReader, limits);
        ConfigHandlers configHandlers = new ConfigHandlers(operators, dependencies.configService());
        RoutingHandler routes = Handlers.routing()
                .post("/v1/pipelines/{pipeline}/requests", callerHandler)
                .post("/v1/services/{service}/{call}", callerHandler)
                .get("/v1/status", new StatusHandler(sink, operators))
                .post("/v1/plans", configHandlers.createPlan())
                .get("/v1/plans/{id}", configHandlers.getPlan())
                .post("/v1/plans/{id}/confirm", configHandlers.confirmPlan())
                .get("/v1/config", configHandlers.getConfig())
                .get("/v1/audit", configHandlers.listAudit())
                .get("/health/live", exchange -> exchange.getResponseSender().send("live\n"))
                .get("/health/ready", readinessHandler(dependencies.readiness()))
                .get("/metrics", exchange -> {
                    exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
                    exchange.getResponseSender().send(dependencies.metrics().get());
                });
        undertow = Undertow.builder()
                .addHttpListener(port, host)
                .setIoThreads(ioThreads)
                .setWorkerThreads(OPERATOR_THREADS)
                .setWorkerOption(Options.THREAD_DAEMON, true)
                .setSocketOption(Options.BACKLOG, ACCEPT_BACKLOG)
                .setSocketOption(Options.TCP_NODELAY, true)
                .setSocketOption(Options.CONNECTION_HIGH_WATER, limits.maxConnections())
                .setSocketOption(Options.CONNECTION_LOW_WATER, limits.maxConnections())
                .setServerOption(UndertowOptions.MAX_ENTITY_SIZE, MAX_DISCARDED_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADER_SIZE, MAX_HEADER_BYTES)
                .setServerOption(UndertowOptions.MAX_HEADERS, MAX_HEADERS)
                .setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, HEADER_TIMEOUT_MILLIS)
                .setServerOption(UndertowOptions.IDLE_TIMEOUT, IDLE_TIMEOUT_MILLIS)
                .setHandler(routes)
                .build();
        undertow.start();
    }

    /**
     * Gets the port that the server listens on.
     *
     * @return the TCP port
     */
    public int getPort() {
        return ((InetSocketAddress) undertow.getListenerInfo().get(0).getAddress()).getPort();
    }

    @Override
    public void close() {
        undertow.stop();
    }

    private static HttpHandler readinessHandler(Readiness readiness) {
        return exchange -> {
            exchange.setStatusCode(readiness.isReady() ? StatusCodes.OK : StatusCodes.SERVICE_UNAVAILABLE);
            exchange.getResponseSender().send(readiness.isReady() ? "ready\n" : "not ready\n");
        };
    }
}
