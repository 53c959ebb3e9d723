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
import org.fuchsiawharf.core.store.BudgetedStore;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.http.client.DirectoryPoller;
import org.fuchsiawharf.http.client.EndpointEvents;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpEndpointPort;
import org.fuchsiawharf.http.client.HttpKeyValueStore;
import org.fuchsiawharf.http.server.EntryServer;
import org.fuchsiawharf.http.server.Readiness;

/**
 * One entry instance: decisions, HTTP server, endpoint calls, directory and metrics.
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
    private final PrometheusMeterRegistry metrics = new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
    private final HttpClient client;
    private final DecisionLoop loop;
    private final InstanceDecisions decisions;
    private final EntryServer server;
    private final EndpointEvents events;
    private final DirectoryPoller directory;
    private final ClaimWorker claims;
    private final ConfigWatcher watcher;
    private volatile ServingConfig config;
    private volatile boolean stopping;
    private volatile boolean directoryRead;
    private volatile boolean configRead;

    private EntryInstance(EntryOptions options) {
        this.options = options;
        this.config = options.config();
        this.client = new HttpClient(options.name(), CLIENT_THREADS);
        LateBinding late = new LateBinding();
        SplittableRandom random = new SplittableRandom(options.seed());
        PolicySet policies = options.baseline() ? PolicySet.baseline() : PolicySet.of(options.objective(), random);
        this.decisions = new InstanceDecisions(
                options.name(),
                options.zone(),
                policies,
                new InstanceDecisions.Ports(late, late, new JsonRequestLog()),
                () -> drained.complete(null),
                clock.nanos());
        this.loop = new DecisionLoop(options.name(), (EventProcessor) decisions, clock);
        late.port = new HttpEndpointPort(client, loop);
        HttpKeyValueStore remote = new HttpKeyValueStore(client, options.platform(), STORE_TIMEOUT_MILLIS);
        BudgetedStore store = new BudgetedStore(remote, clock, STORE_CALLS_PER_SECOND);
        this.claims = new ClaimWorker(options.name() + "#" + System.currentTimeMillis(), store, loop);
        late.claims = claims;
        ConfigService configs = new ConfigService(store, options.config(), System::currentTimeMillis);
        this.watcher = new ConfigWatcher(options.name(), configs, this::onConfig);
        this.events = new EndpointEvents(client, loop);
        this.directory = new DirectoryPoller(client, options.platform(), options.directoryMillis(), this::onEndpoints);
        registerCounters();
        loop.start();
        this.server = new EntryServer(
                options.host(),
                options.port(),
                SERVER_THREADS,
                options.limits(),
                options.operators(),
                new EntryServer.Dependencies(loop, () -> config, configs, clock, readiness, metrics::scrape));
    }

    /**
     * Starts an instance, which is ready once it has read directory and configuration.
     *
     * @param options what it is told, not null
     * @return the instance, never null
     */
    public static EntryInstance start(EntryOptions options) {
        EntryInstance instance = new EntryInstance(options);
        instance.watcher.start();
        instance.directory.start();
        return instance;
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the port of its HTTP server.
     *
     * @return the TCP port
     */
    public int getPort() {
        return server.getPort();
    }

    /**
     * Gets its counters.
     *
     * @return the counters, never null
     */
    public Counters getCounters() {
        return decisions.getCounters();
    }

    /**
     * Gets the revision of the configuration in force.
     *
     * @return the revision, 0 until a plan was confirmed
     */
    public long getRevision() {
        return config.revision();
    }

    /**
     * Tells whether it wants new requests.
     *
     * @return true if it does
     */
    public boolean isReady() {
        return readiness.isReady();
    }

    /**
     * Stops without cutting off any request: reports not ready, goes on taking requests for a while, then refuses
     * new ones and waits for the others.
     *
     * @return completes when no request is left or the drain time is over, never null
     */
    public CompletableFuture<Void> stop() {
        stopping = true;
        readiness.setReady(false);
        client.getIoThread()
                .executeAfter(
                        () -> loop.publish(new Event.ShutdownRequested(false)),
                        options.notReadyMillis(),
                        TimeUnit.MILLISECONDS);
        long bound = options.notReadyMillis() + options.drainMillis();
        return drained.copy().completeOnTimeout(null, bound, TimeUnit.MILLISECONDS);
    }

    /** Refuses what is queued and has not run; what runs goes on. */
    public void refuseQueued() {
        loop.publish(new Event.ShutdownRequested(true));
    }

    /** Ends at once, whatever runs. */
    @Override
    public void close() {
        stopping = true;
        readiness.setReady(false);
        directory.close();
        watcher.close();
        claims.close();
        events.close();
        server.close();
        client.close();
        loop.close();
    }

    // -----------------------------------------------------------------------

    private void onEndpoints(List<EndpointStatus> statuses) {
        loop.publish(new Event.EndpointsListed(statuses));
        events.setEndpoints(statuses);
        directoryRead = true;
        becomeReady();
    }

    private void onConfig(ServingConfig loaded) {
        config = loaded;
        loop.publish(new Event.ConfigAdopted(loaded));
        configRead = true;
        becomeReady();
    }

    private void becomeReady() {
        if (!stopping && directoryRead && configRead) {
            readiness.setReady(true);
        }
    }

    private void registerCounters() {
        for (Counters.Name name : Counters.Name.values()) {
            String meter = "fuchsiawharf." + name.getWireName().replace('_', '.');
            FunctionCounter.builder(meter, decisions.getCounters(), counters -> counters.get(name))
                    .tag("instance", options.name())
                    .tag("zone", options.zone())
                    .register(metrics);
        }
    }

    /** Breaks the circle between the decisions, which send calls, and the loop, which takes the answers. */
    private static final class LateBinding implements EndpointPort, ClaimPort {
        private ClaimPort claims = ClaimPort.GRANT_ALL;
        private EndpointPort port = new EndpointPort() {
            @Override
            public void call(StageCall call) {}

            @Override
            public void cancel(AttemptId id, Endpoint endpoint) {}
        };

        @Override
        public void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver) {
            claims.claim(key, request, body, receiver);
        }

        @Override
        public void release(String key, String request) {
            claims.release(key, request);
        }

        @Override
        public void call(StageCall call) {
            port.call(call);
        }

        @Override
        public void cancel(AttemptId id, Endpoint endpoint) {
            port.cancel(id, endpoint);
        }
    }
}
