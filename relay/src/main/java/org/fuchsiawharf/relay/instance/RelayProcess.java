package org.fuchsiawharf.relay.instance;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.BiConsumer;
import java.util.function.Function;
import java.util.function.Predicate;

import org.fuchsiawharf.core.health.OutlierEjection;
import org.fuchsiawharf.core.limits.BrittleShares;
import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.limits.CallerMemory;
import org.fuchsiawharf.core.limits.ClientLimitLog;
import org.fuchsiawharf.core.limits.ColdShares;
import org.fuchsiawharf.core.limits.IdleConnectionLimits;
import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.limits.RequestShares;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.loop.TaskLoop;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.WatcherSelector;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.pieces.PieceCalls;
import org.fuchsiawharf.core.pieces.PoolContext;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.quarantine.CrashQuarantine;
import org.fuchsiawharf.core.quarantine.EvidenceExchange;
import org.fuchsiawharf.core.quarantine.QuarantineKeeper;
import org.fuchsiawharf.core.relay.ObjectiveAdmission;
import org.fuchsiawharf.core.relay.RelayContext;
import org.fuchsiawharf.core.relay.RelayInstance;
import org.fuchsiawharf.core.retry.Hedging;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ExpectedCompletionSelector;
import org.fuchsiawharf.core.stream.StreamOrigins;
import org.fuchsiawharf.core.stream.VersionHistory;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.peer.AcceptedConnections;
import org.fuchsiawharf.peer.PeerListener;
import org.fuchsiawharf.peer.PeerNetwork;
import org.fuchsiawharf.relay.EndpointNoticeReader;
import org.fuchsiawharf.relay.FieldNames;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.client.HttpClient;
import org.fuchsiawharf.relay.edge.CallerServer;
import org.fuchsiawharf.relay.edge.RelayedCalls;

/**
 * One instance: the decision loop, the servers and clients, and their start and stop.
 *
 * <p>The platform module supplies configurations, endpoints and members on the decision loop. The instance is ready
 * from the time that it has a configuration and a list of endpoints until it stops. Thread-safe, except for the methods
 * that are documented to run on the decision loop.
 */
public final class RelayProcess {
    /** Cost of a call to another availability zone; about one round trip between zones. */
    private static final double CROSS_ZONE_COST_NANOS = 2e6;
    /** Time that a cached prompt saves, about the prefill time of several thousand tokens. */
    private static final double CACHED_PROMPT_SAVING_NANOS = 150e6;
    /** Interval between log lines that report the load of the instance. */
    private static final long LOAD_REPORT_NANOS = 1_000_000_000L;

    private final InstanceSettings settings;
    private final DecisionLog log;
    private final MicrometerMeters meters;
    private final TaskLoop loop;
    private final IoThread ioThread = new IoThread();
    private final ProcessUsage usage = new ProcessUsage();
    private final HttpClient client;
    private final EndpointNoticeReader noticeReader;
    private final MemberTable members;
    private final WatcherSelector watchers;
    private final PeerNetwork peers;
    private final StagePools pools;
    private final TunnelService tunnels;
    private final EvidenceExchange evidenceExchange;
    private final QuarantineKeeper quarantineKeeper;
    private final StreamOrigins origins;
    private final RelayInstance instance;
    private final CallerServer callerServer;
    private final StatusServer statusServer;
    private BiConsumer<String, PeerMessage> stateMessageHandler = (from, message) -> {};
    private volatile boolean configured;
    private volatile boolean endpointsKnown;
    private volatile int endpointCount;
    private volatile boolean stopping;

    /**
     * Creates an instance; {@link #start} binds its listen addresses.
     *
     * @param settings the settings of the instance, not null
     * @param names the names of the header fields, not null
     * @param pieceCalls creates the client that sends batches of pieces, not null
     * @param log records decisions, not null
     * @param meters records metrics, not null
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
        this.noticeReader = new EndpointNoticeReader(names, loop, log);
        this.members = new MemberTable(self);
        this.watchers = new WatcherSelector(members);
        this.peers = new PeerNetwork(self, ioThread.getGroup(), loop, System::nanoTime, log, meters);
        EndpointTable table = new EndpointTable(self.zone(), NoConcurrencyLimit::new);
        this.tunnels = new TunnelService(self, ioThread, loop, table, noticeReader, log, meters);
        this.client = new HttpClient(ioThread, names.requestId(), tunnels.getConnector());
        peers.setTunnelCarrier(tunnels.createCarrier());
        CallerBounds bounds = settings.limits().callers();
        peers.setAcceptedConnections(new AcceptedConnections(
                new CallerMemory(bounds.maxPeerConnections(), bounds.getMaxPeerBytes()),
                new ClientLimitLog("peers", System::nanoTime, log, meters)));
        OutlierEjection ejection = new OutlierEjection();
        SharedRetryBudget retryBudget = new SharedRetryBudget(
                settings.retryRatio(),
                settings.retryAllowance(),
                settings.retryWindowMillis() * 1_000_000L,
                members::size,
                System::nanoTime);
        SplittableRandom random =
                new SplittableRandom(self.incarnation() ^ self.name().hashCode());
        this.pools = new StagePools(
                members,
                peers,
                new PoolContext(table, ejection, pieceCalls.apply(this), timers, retryBudget, log, meters));
        Predicate<String> isTrialInstance = id -> members.rankOwners(id).get(0).equals(self);
        CrashQuarantine quarantine = new CrashQuarantine(timers, isTrialInstance, log);
        this.quarantineKeeper = new QuarantineKeeper(quarantine, isTrialInstance);
        this.evidenceExchange = new EvidenceExchange(quarantine, peers, timers, random);
        RelayedCalls calls = new RelayedCalls(ioThread, client, names, loop, log, noticeReader);
        this.origins = new StreamOrigins(new VersionHistory(timers, random), timers);
        this.instance = new RelayInstance(new RelayContext(
                table,
                new ExpectedCompletionSelector(random, CROSS_ZONE_COST_NANOS, CACHED_PROMPT_SAVING_NANOS),
                ejection,
                pools,
                calls,
                retryBudget,
                Hedging.of(settings.limits().hedges(), retryBudget, System::nanoTime),
                new IdleConnectionLimits(members::size),
                new RequestShares(members, random),
                new BrittleShares(members, System::nanoTime, random),
                new ColdShares(members, settings.limits().cold()),
                quarantine,
                origins,
                new ObjectiveAdmission(),
                timers,
                random,
                log,
                meters));
        calls.setInstance(instance);
        tunnels.setInstance(instance);
        noticeReader.setListener(new EndpointNoticeReader.Listener() {
            @Override
            public void onLeaving(String endpoint) {
                instance.getEndpointUpdates().onLeaving(endpoint);
            }

            @Override
            public void onPauseRequested(String endpoint, long nanos) {
                instance.getEndpointUpdates().onPauseRequested(endpoint, nanos);
            }

            @Override
            public void onRequestLimit(String endpoint, double perSecond, long sentNanos) {
                instance.getEndpointUpdates().onRequestLimit(endpoint, perSecond, sentNanos);
            }

            @Override
            public void onCold(String endpoint, long untilNanos) {
                instance.getEndpointUpdates().onCold(endpoint, untilNanos);
            }

            @Override
            public void onBrittle(String endpoint, double maxRejections, long sentNanos) {
                instance.getEndpointUpdates().onBrittle(endpoint, maxRejections, sentNanos);
            }
        });
        this.statusServer = new StatusServer(ioThread, settings.limits().callers(), log, meters);
        this.callerServer = new CallerServer(
                ioThread, names, instance, loop, settings.limits().callers(), log, meters);
        loop.addPauseListener(nanos -> {
            log.write("instance.paused", "millis", nanos / 1_000_000);
            pools.onProcessPaused();
        });
    }

    /** Starts the decision loop and binds the listen addresses, the one for callers last. */
    public void start() {
        loop.start();
        loop.execute(pools::start);
        loop.execute(evidenceExchange::start);
        loop.execute(origins.getHistory()::start);
        loop.execute(this::reportLoad);
        peers.bind(new PeerListener() {
            @Override
            public void onMessage(String from, PeerMessage message) {
                boolean isStateMessage = message instanceof PeerMessage.AskState
                        || message instanceof PeerMessage.PassEntries
                        || message instanceof PeerMessage.StoreChanges;
                if (isStateMessage) {
                    stateMessageHandler.accept(from, message);
                } else if (message instanceof PeerMessage.ShareEvidence evidence) {
                    evidenceExchange.onMessage(evidence);
                } else {
                    pools.onMessage(from, message);
                }
            }

            @Override
            public void onConnected(String peer) {
                log.write("peer.connected", "peer", peer);
            }

            @Override
            public void onDisconnected(String peer, String detail) {
                pools.onDisconnected(peer, detail);
            }
        });
        statusServer.bind(settings.statusAddress());
        if (settings.metricsAddress() != null) {
            statusServer.add(
                    "/metrics", new CachedPage(() -> new StatusServer.Page(200, meters.scrape()), System::nanoTime));
            statusServer.bind(settings.metricsAddress());
        }
        callerServer.bind(settings.callerAddress());
    }

    private void reportLoad() {
        long cpuMillis = usage.takeCpuMillis();
        long collectionMillis = usage.takeCollectionMillis();
        long receivedBytes = ioThread.getTraffic().takeReceivedBytes();
        long sentBytes = ioThread.getTraffic().takeSentBytes();
        meters.count("process_millis", "cpu", cpuMillis);
        meters.count("process_millis", "gc", collectionMillis);
        meters.count("network_bytes", "in", receivedBytes);
        meters.count("network_bytes", "out", sentBytes);
        log.write(
                "instance.load",
                "loop_delay_ms",
                loop.takeMaxDelayNanos() / 1_000_000,
                "requests",
                instance.getActive(),
                "peers",
                peers.getConnectedPeers().size(),
                "pieces_outstanding",
                pools.getOutstandingCount(),
                "pieces_waiting",
                pools.getQueuedCount(),
                "cpu_ms",
                cpuMillis,
                "gc_ms",
                collectionMillis,
                "bytes_in",
                receivedBytes,
                "bytes_out",
                sentBytes);
        TimerService timers = loop.getTimers();
        timers.schedule(timers.now() + LOAD_REPORT_NANOS, this::reportLoad);
    }

    /**
     * Adds the readiness page, which responds with 200 if the instance is ready and 503 otherwise.
     *
     * @param path the path of the page, not null
     */
    public void addReadinessPage(String path) {
        statusServer.add(
                path, () -> isReady() ? new StatusServer.Page(200, "ready\n") : new StatusServer.Page(503, "no\n"));
    }

    /**
     * Sets the handler of the peer messages that exchange store state; called before {@link #start}.
     *
     * @param handler receives the sender's name and the message on the decision loop, not null
     */
    public void setStateMessageHandler(BiConsumer<String, PeerMessage> handler) {
        stateMessageHandler = handler;
    }

    // -----------------------------------------------------------------------

    /**
     * Checks whether the instance is ready to serve callers.
     *
     * @return true from the first configuration and list of endpoints until the stop
     */
    public boolean isReady() {
        return configured && endpointsKnown && !stopping;
    }

    /**
     * Applies a configuration if it is newer than the current one; called on the decision loop.
     *
     * @param config the configuration, not null
     */
    public void applyConfig(RoutingConfig config) {
        if (instance.applyConfig(config)) {
            callerServer.setLimits(config.getLimits());
            configured = true;
        }
    }

    /**
     * Replaces the list of endpoints; called on the decision loop.
     *
     * @param endpoints all known endpoints, not null
     */
    public void setEndpoints(List<EndpointStatus> endpoints) {
        instance.getEndpointUpdates().onEndpoints(endpoints);
        endpointCount = endpoints.size();
        endpointsKnown = true;
    }

    /**
     * Replaces the availability zones whose endpoints the operator has taken out of use; called on the decision loop.
     *
     * @param zones the names of the zones, not null
     */
    public void setEvacuatedZones(Set<String> zones) {
        instance.getEndpointUpdates().onEvacuated(zones);
    }

    /**
     * Gets the number of known endpoints.
     *
     * @return the size of the last list of endpoints, 0 without one
     */
    public int getEndpointCount() {
        return endpointCount;
    }

    /**
     * Replaces the list of live instances; called on the decision loop.
     *
     * @param live the members, not null
     */
    public void setMembers(Collection<Member> live) {
        pools.setMembers(live);
        tunnels.setMembers(members.getMembers());
    }

    /**
     * Gets the selector of the instances that watch the store; used on the decision loop.
     *
     * @return the selector, never null
     */
    public WatcherSelector getWatchers() {
        return watchers;
    }

    /**
     * Gets the keeper of quarantined suspects, whose store the platform module sets when it starts.
     *
     * @return the keeper, used on the decision loop, never null
     */
    public QuarantineKeeper getQuarantineKeeper() {
        return quarantineKeeper;
    }

    /**
     * Gets the origins of streams, whose store the platform module sets when it starts.
     *
     * @return the origins, used on the decision loop, never null
     */
    public StreamOrigins getOrigins() {
        return origins;
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
     * Gets the HTTP client for calls to external systems.
     *
     * @return the client, never null
     */
    public HttpClient getClient() {
        return client;
    }

    /**
     * Gets the reader of the notices that endpoints give about themselves.
     *
     * @return the reader, never null
     */
    public EndpointNoticeReader getNoticeReader() {
        return noticeReader;
    }

    /**
     * Gets the I/O thread, which serves all connections.
     *
     * @return the thread, never null
     */
    public IoThread getIoThread() {
        return ioThread;
    }

    /**
     * Gets the network of connections to other instances.
     *
     * @return the network, never null
     */
    public PeerNetwork getPeers() {
        return peers;
    }

    // -----------------------------------------------------------------------

    /** Drains the instance, then ends and answers the remaining requests; blocks for the grace period at most. */
    public void stop() {
        stop(() -> {});
    }

    /**
     * Drains the instance, then ends and answers the remaining requests; blocks for the grace period at most.
     *
     * @param lastStep a task that is executed on the decision loop after the last answer, not null
     */
    public void stop(Runnable lastStep) {
        stopping = true;
        loop.execute(pools::leave);
        loop.execute(tunnels::stop);
        new StopSequence(loop, ioThread, instance, tunnels, callerServer, log, settings.gracePeriodMillis())
                .run(lastStep);
    }
}
