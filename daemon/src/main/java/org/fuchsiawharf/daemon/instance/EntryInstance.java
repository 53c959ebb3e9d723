package org.fuchsiawharf.daemon.instance;

import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import org.fuchsiawharf.core.claims.ClaimResult;
import org.fuchsiawharf.core.config.ConfigService;
import org.fuchsiawharf.core.loop.DecisionLoop;
import org.fuchsiawharf.core.loop.EventProcessor;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.ClaimPort;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.StageCall;
import org.fuchsiawharf.core.request.Counters;
import org.fuchsiawharf.core.request.InstanceDecisions;
import org.fuchsiawharf.core.request.PolicySet;
import org.fuchsiawharf.core.store.RateLimitedStore;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.http.client.DirectoryPoller;
import org.fuchsiawharf.http.client.EndpointEvents;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpEndpointPort;
import org.fuchsiawharf.http.client.HttpKeyValueStore;
import org.fuchsiawharf.http.server.EntryServer;
import org.fuchsiawharf.http.server.Readiness;

/**
 * An entry instance: the decision logic ({@link InstanceDecisions}), connected to the HTTP server, the endpoints, the
 * directory, the key-value service and the metrics.
 *
 * <pre>
 * EntryInstance instance = EntryInstance.start(options);
 * instance.stop().join();
 * </pre>
 *
 * <p>Thread-safe.
 */
public final class EntryInstance implements AutoCloseable {
    private static final int CLIENT_THREADS = 2;
    private static final int SERVER_THREADS = 2;
    private static final long STORE_TIMEOUT_MILLIS = 500;
    private static final double STORE_CALLS_PER_SECOND = 100;

    private final EntryOptions options;
    private final long startNanos = System.nanoTime();
    private final Clock clock = () -> System.nanoTime() - startNanos;
    private final Readiness readiness = new Readiness();
    private final CompletableFuture<Void> drained = new CompletableFuture<>();
    private final PrometheusMeterRegistry meterRegistry = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final HttpClient client;
    private final DecisionLoop loop;
    private final InstanceDecisions decisions;
    private final EntryServer server;
    private final EndpointEvents endpointEvents;
    private final DirectoryPoller directoryPoller;
    private final ClaimWorker claimWorker;
    private final ConfigWatcher configWatcher;
    private volatile ServingConfig config;
    private volatile boolean stopping;
    private volatile boolean directoryLoaded;
    private volatile boolean configLoaded;

    private EntryInstance(EntryOptions options) {
        this.options = options;
        this.config = options.config();
        this.client = new HttpClient(options.name(), CLIENT_THREADS);
        DeferredPorts ports = new DeferredPorts();
        SplittableRandom random = new SplittableRandom(options.seed());
        PolicySet policies = options.baseline() ? PolicySet.baseline() : PolicySet.of(options.objective(), random);
        this.decisions = new InstanceDecisions(
                options.name(),
                options.zone(),
                policies,
                new InstanceDecisions.Ports(ports, ports, new JsonRequestLog()),
                () -> drained.complete(null),
                clock.nanos());
        this.loop = new DecisionLoop(options.name(), (EventProcessor) decisions, clock);
        ports.endpointPort = new HttpEndpointPort(client, loop);
        HttpKeyValueStore remoteStore = new HttpKeyValueStore(client, options.platform(), STORE_TIMEOUT_MILLIS);
        RateLimitedStore store = new RateLimitedStore(remoteStore, clock, STORE_CALLS_PER_SECOND);
        this.claimWorker = new ClaimWorker(options.name() + "#" + System.currentTimeMillis(), store, loop);
        ports.claimPort = claimWorker;
        ConfigService configService = new ConfigService(store, options.config(), System::currentTimeMillis);
        this.configWatcher = new ConfigWatcher(options.name(), configService, this::onConfigLoaded);
        this.endpointEvents = new EndpointEvents(client, loop);
        this.directoryPoller =
                new DirectoryPoller(client, options.platform(), options.directoryMillis(), this::onEndpointsListed);
        registerCounters();
        loop.start();
        this.server = new EntryServer(
                options.host(),
                options.port(),
                SERVER_THREADS,
                options.limits(),
                options.operators(),
                new EntryServer.Dependencies(
                        loop, () -> config, configService, clock, readiness, meterRegistry::scrape));
    }

    /**
     * Starts an instance, which becomes ready once the directory and the configuration are loaded.
     *
     * @param options the options of the instance, not null
     * @return the instance, never null
     */
    public static EntryInstance start(EntryOptions options) {
        EntryInstance instance = new EntryInstance(options);
        instance.configWatcher.start();
        instance.directoryPoller.start();
        return instance;
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the port of the HTTP server.
     *
     * @return the TCP port
     */
    public int getPort() {
        return server.getPort();
    }

    /**
     * Gets the counters of the instance.
     *
     * @return the counters, never null
     */
    public Counters getCounters() {
        return decisions.getCounters();
    }

    /**
     * Gets the revision of the configuration in force.
     *
     * @return the revision, that of the initial configuration until another configuration is loaded
     */
    public long getRevision() {
        return config.revision();
    }

    /**
     * Checks whether the instance reports that it is ready for new requests.
     *
     * @return true if the instance is ready
     */
    public boolean isReady() {
        return readiness.isReady();
    }

    /**
     * Drains the instance: reports not ready but accepts requests for {@code notReadyMillis}, then rejects new requests
     * and waits for the accepted ones to end.
     *
     * @return a future that completes when all requests have ended or {@code notReadyMillis} plus
     *     {@code drainMillis} have passed, never null
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        readiness.setReady(false);
        client.getIoThread()
                .executeAfter(
                        () -> loop.publish(new Event.ShutdownRequested(false)),
                        options.notReadyMillis(),
                        TimeUnit.MILLISECONDS);
        long maxStopMillis = options.notReadyMillis() + options.drainMillis();
        return drained.copy().completeOnTimeout(null, maxStopMillis, TimeUnit.MILLISECONDS);
    }

    /** Rejects queued requests that have not run; requests in flight continue. */
    public void rejectQueued() {
        loop.publish(new Event.ShutdownRequested(true));
    }

    /** Closes the instance at once, without waiting for requests in flight. */
    @Override
    public void close() {
        stopping = true;
        readiness.setReady(false);
        directoryPoller.close();
        configWatcher.close();
        claimWorker.close();
        endpointEvents.close();
        server.close();
        client.close();
        loop.close();
    }

    // -----------------------------------------------------------------------

    private void onEndpointsListed(List<EndpointStatus> statuses) {
        loop.publish(new Event.EndpointsListed(statuses));
        endpointEvents.setEndpoints(statuses);
        directoryLoaded = true;
        setReadyIfLoaded();
    }

    private void onConfigLoaded(ServingConfig newConfig) {
        config = newConfig;
        loop.publish(new Event.ConfigAdopted(newConfig));
        configLoaded = true;
        setReadyIfLoaded();
    }

    private void setReadyIfLoaded() {
        if (!stopping && directoryLoaded && configLoaded) {
            readiness.setReady(true);
        }
    }

    private void registerCounters() {
        for (Counters.Name name : Counters.Name.values()) {
            String meter = "fuchsiawharf." + name.getWireName().replace('_', '.');
            FunctionCounter.builder(meter, decisions.getCounters(), counters -> counters.get(name))
                    .tag("instance", options.name())
                    .tag("zone", options.zone())
                    .register(meterRegistry);
        }
    }

    /** Breaks the circular dependency: the decisions send calls through ports, which publish results to their loop. */
    private static final class DeferredPorts implements EndpointPort, ClaimPort {
        private ClaimPort claimPort = ClaimPort.GRANT_ALL;
        private EndpointPort endpointPort = new EndpointPort() {
            @Override
            public void call(StageCall call) {}

            @Override
            public void cancel(AttemptId id, Endpoint endpoint) {}
        };

        @Override
        public void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver) {
            claimPort.claim(key, request, body, receiver);
        }

        @Override
        public void release(String key, String request) {
            claimPort.release(key, request);
        }

        @Override
        public void call(StageCall call) {
            endpointPort.call(call);
        }

        @Override
        public void cancel(AttemptId id, Endpoint endpoint) {
            endpointPort.cancel(id, endpoint);
        }
    }
}
