package org.fuchsiawharf.relay.instance;

import java.util.Collection;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Function;

import org.fuchsiawharf.core.health.OutlierEjection;
import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.loop.TaskLoop;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.pieces.PieceCalls;
import org.fuchsiawharf.core.pieces.PoolContext;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.relay.ObjectiveAdmission;
import org.fuchsiawharf.core.relay.RelayContext;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ExpectedCompletionSelector;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.peer.PeerListener;
import org.fuchsiawharf.peer.PeerNetwork;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.client.HttpClient;
import org.fuchsiawharf.relay.edge.Edge;
import org.fuchsiawharf.relay.edge.RelayedCalls;

/**
 * One instance: the decision loop, its connections, and what it learns from outside.
 *
 * <p>What is outside hands in configurations, endpoints and members on the decision loop. The instance is ready once
 * it has a configuration and has been told the endpoints, until it stops. Thread-safe, except for methods that say
 * that they run on the loop.
 */
public final class RelayProcess {
    /** What leaving the own availability zone costs a call, in nanoseconds; about a round trip between zones. */
    private static final double CROSSING_NANOS = 2e6;
    /** What a cached prompt saves, in nanoseconds: the reading of some thousand tokens. */
    private static final double PROMPT_SAVING_NANOS = 150e6;
    /** How long a stopping instance still takes requests, while the balancer notices by two missed questions. */
    private static final long LAST_REQUESTS_MILLIS = 2_800;
    /** Taken off the grace period, so that the process ends by itself. */
    private static final long GRACE_MARGIN_MILLIS = 700;

    private static final long POLL_MILLIS = 50;

    private final InstanceSettings settings;
    private final DecisionLog log;
    private final MicrometerMeters meters;
    private final TaskLoop loop;
    private final IoThread io = new IoThread();
    private final HttpClient client;
    private final MemberTable members;
    private final PeerNetwork peers;
    private final StagePools pools;
    private final RelayInstance instance;
    private final Edge edge;
    private final StatusServer status = new StatusServer(io);
    private BiConsumer<String, PeerMessage> stateMessages = (from, message) -> {};
    private volatile boolean configured;
    private volatile boolean endpointsKnown;
    private volatile int endpointCount;
    private volatile boolean stopping;

    /**
     * Creates an instance; {@link #start} opens its addresses.
     *
     * @param settings its settings, not null
     * @param names the names of header fields, not null
     * @param pieceCalls makes what sends batches of pieces, not null
     * @param log takes decisions, not null
     * @param meters takes counts and durations, not null
     */
    public RelayProcess(
            InstanceSettings settings,
            FieldNames names,
            Function<RelayProcess, PieceCalls> pieceCalls,
            DecisionLog log,
            MicrometerMeters meters) {
        this.settings = settings;
        this.log = log;
        this.meters = meters;
        Member self = settings.self();
        this.loop = new TaskLoop(self.name(), System::nanoTime);
        TimerService timers = loop.getTimers();
        this.client = new HttpClient(io, names.requestId(), meters);
        this.members = new MemberTable(self);
        this.peers = new PeerNetwork(self, io.getGroup(), loop, System::nanoTime, log, meters);
        EndpointTable table = new EndpointTable(self.zone(), NoConcurrencyLimit::new);
        OutlierEjection health = new OutlierEjection();
        SharedRetryBudget budget = new SharedRetryBudget(
                settings.retryRatio(),
                settings.retryAllowance(),
                settings.retryWindowMillis() * 1_000_000L,
                members::size,
                System::nanoTime);
        SplittableRandom random =
                new SplittableRandom(self.incarnation() ^ self.name().hashCode());
        this.pools = new StagePools(
                members, peers, new PoolContext(table, health, pieceCalls.apply(this), timers, budget, log, meters));
        RelayedCalls calls = new RelayedCalls(io, client, names, loop, log);
        this.instance = new RelayInstance(new RelayContext(
                table,
                new ExpectedCompletionSelector(random, CROSSING_NANOS, PROMPT_SAVING_NANOS),
                health,
                pools,
                calls,
                budget,
                new ObjectiveAdmission(),
                timers,
                random,
                log,
                meters));
        calls.setInstance(instance);
        this.edge = new Edge(io, names, instance, loop, log, meters);
        loop.onStandstill(nanos -> {
            log.write("instance.stood_still", "millis", nanos / 1_000_000);
            pools.onStandstill();
        });
    }

    /** Starts the loop and opens every address, the callers' last. */
    public void start() {
        loop.start();
        loop.execute(pools::start);
        peers.bind(new PeerListener() {
            @Override
            public void onMessage(String from, PeerMessage message) {
                boolean state = message instanceof PeerMessage.AskState || message instanceof PeerMessage.PassEntries;
                if (state) {
                    stateMessages.accept(from, message);
                } else {
                    pools.onMessage(from, message);
                }
            }

            @Override
            public void onConnected(String member) {
                log.write("peer.connected", "peer", member);
            }

            @Override
            public void onDisconnected(String member, String detail) {
                pools.onDisconnected(member, detail);
            }
        });
        status.bind(settings.status());
        if (settings.metrics() != null) {
            status.add("/metrics", () -> new StatusServer.Page(200, meters.scrape()));
            status.bind(settings.metrics());
        }
        edge.bind(settings.callers());
    }

    /**
     * Adds the page that tells whether the instance takes new callers.
     *
     * @param path the page's path, not null
     */
    public void addReadiness(String path) {
        status.add(path, () -> isReady() ? new StatusServer.Page(200, "ready\n") : new StatusServer.Page(503, "no\n"));
    }

    /**
     * Sets who hears messages about what the store holds; called before the start.
     *
     * @param messages takes the sender's name and the message, on the loop, not null
     */
    public void onState(BiConsumer<String, PeerMessage> messages) {
        stateMessages = messages;
    }

    // -----------------------------------------------------------------------

    /**
     * Tells whether the instance takes new callers.
     *
     * @return true if it does
     */
    public boolean isReady() {
        return configured && endpointsKnown && !stopping;
    }

    /**
     * Takes in a configuration; on the loop.
     *
     * @param config the configuration, not null
     */
    public void adopt(RoutingConfig config) {
        if (instance.adopt(config)) {
            edge.setLimits(config.getLimits());
            configured = true;
        }
    }

    /**
     * Takes in every endpoint; on the loop.
     *
     * @param endpoints the endpoints, not null
     */
    public void setEndpoints(List<EndpointStatus> endpoints) {
        instance.onEndpoints(endpoints);
        endpointCount = endpoints.size();
        endpointsKnown = true;
    }

    /**
     * Gets the number of endpoints that are known.
     *
     * @return the count as last told
     */
    public int getEndpointCount() {
        return endpointCount;
    }

    /**
     * Takes in every live instance; on the loop.
     *
     * @param live the members, not null
     */
    public void setMembers(Collection<Member> live) {
        if (members.replace(live)) {
            log.write("members.changed", "members", members.size());
            pools.onMembersChanged();
        }
    }

    /**
     * Gets the decision loop.
     *
     * @return the loop, never null
     */
    public TaskLoop getLoop() {
        return loop;
    }

    /**
     * Gets the client for calls to outside systems.
     *
     * @return the client, never null
     */
    public HttpClient getClient() {
        return client;
    }

    /**
     * Gets the thread of all connections.
     *
     * @return the thread, never null
     */
    public IoThread getIo() {
        return io;
    }

    /**
     * Gets the connections to other instances.
     *
     * @return the network, never null
     */
    public PeerNetwork getPeers() {
        return peers;
    }

    // -----------------------------------------------------------------------

    /** Stops taking callers, ends what runs and returns; blocks for the grace period at most. */
    public void stop() {
        long begin = System.nanoTime();
        stopping = true;
        edge.drain();
        loop.execute(pools::leave);
        log.write("instance.stopping", "grace_ms", settings.gracePeriodMillis());
        long last = settings.gracePeriodMillis() - GRACE_MARGIN_MILLIS;
        while (elapsedMillis(begin) < Math.min(LAST_REQUESTS_MILLIS, last)) {
            sleep();
        }
        // From here on no request is taken any more, so that none is read and then left without an answer.
        loop.execute(instance::refuseNew);
        edge.closeIdle();
        int active = getActive();
        while (elapsedMillis(begin) < last && (active > 0 || edge.getConnectionCount() > 0)) {
            sleep();
            active = getActive();
        }
        loop.execute(instance::endAll);
        awaitSent();
        log.write("instance.stopped", "unanswered", active, "took_ms", elapsedMillis(begin));
    }

    private static long elapsedMillis(long beginNanos) {
        return (System.nanoTime() - beginNanos) / 1_000_000;
    }

    /** Waits until what the loop has decided so far is on its way. */
    public void awaitSent() {
        getActive();
        sleep();
    }

    private int getActive() {
        CompletableFuture<Integer> count = new CompletableFuture<>();
        loop.execute(() -> count.complete(instance.getActive()));
        return count.join();
    }

    private static void sleep() {
        try {
            Thread.sleep(POLL_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
