package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Predicate;

import org.fuchsiawharf.core.health.OutlierEjection;
import org.fuchsiawharf.core.limits.BrittleShares;
import org.fuchsiawharf.core.limits.ColdShares;
import org.fuchsiawharf.core.limits.IdleConnectionLimits;
import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.limits.RequestShares;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.pieces.FakePieceCalls;
import org.fuchsiawharf.core.pieces.PoolContext;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.quarantine.CrashQuarantine;
import org.fuchsiawharf.core.quarantine.QuarantineKeeper;
import org.fuchsiawharf.core.retry.HedgeLimits;
import org.fuchsiawharf.core.retry.Hedging;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.route.CallerLimits;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.RequestKind;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.route.WeightedService;
import org.fuchsiawharf.core.route.Workspace;
import org.fuchsiawharf.core.route.WorkspaceKeys;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ExpectedCompletionSelector;
import org.fuchsiawharf.core.stream.StreamOrigins;
import org.fuchsiawharf.core.stream.VersionHistory;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A fixture with a single instance on virtual time, and three plain endpoints, two engines and two stage endpoints.
 *
 * <p>Routes: {@code /get/} is idempotent and {@code /post/} non-idempotent; {@code /chat/} is a resumable stream and
 * {@code /verdict/} a stream that may not be resumed; {@code /staged/} is a resumable stream after two stages.
 * Confined to the test's thread.
 */
final class RelayInstanceFixture {
    static final long MILLI = 1_000_000L;
    static final String HOST = "h.example";
    static final String KEY = "key-1";

    final TimerService timers;
    final FakeEndpointCalls calls = new FakeEndpointCalls();
    final FakePieceCalls pieces = new FakePieceCalls();
    final CrashQuarantine quarantine;
    final QuarantineKeeper quarantineKeeper;
    final RelayContext context;
    final RelayInstance instance;
    final List<String> loggedEvents = new ArrayList<>();
    final Map<String, Long> counts = new HashMap<>();
    private final SharedRetryBudget budget;
    private int nextId;

    RelayInstanceFixture() {
        this(1_000);
    }

    RelayInstanceFixture(double retryAllowance) {
        this(new TimerService(0), member(0), List.of(), retryAllowance, null);
    }

    /** Creates an instance of a fleet; its requests to endpoints go to its own fake if no calls are given. */
    RelayInstanceFixture(
            TimerService timers,
            Member self,
            List<Member> fleet,
            double retryAllowance,
            @Nullable EndpointCalls endpointCalls) {
        this(timers, self, fleet, retryAllowance, endpointCalls, HedgeLimits.OFF);
    }

    private RelayInstanceFixture(
            TimerService timers,
            Member self,
            List<Member> fleet,
            double retryAllowance,
            @Nullable EndpointCalls endpointCalls,
            HedgeLimits hedgeLimits) {
        this.timers = timers;
        DecisionLog log = (event, fields) -> loggedEvents.add(event);
        Meters meters = new Meters() {
            @Override
            public void count(String name, String label, long amount) {
                counts.merge(name + ":" + label, amount, Long::sum);
            }

            @Override
            public void time(String name, String label, long nanos) {
                counts.merge(name + ":" + label, nanos, Long::sum);
            }
        };
        MemberTable members = new MemberTable(self);
        members.replace(fleet);
        EndpointTable table = new EndpointTable("a", NoConcurrencyLimit::new);
        OutlierEjection health = new OutlierEjection();
        budget = new SharedRetryBudget(0.2, retryAllowance, 10_000 * MILLI, () -> 1, timers::now);
        StagePools pools = new StagePools(
                members, PeerPort.NONE, new PoolContext(table, health, pieces, timers, budget, log, Meters.NONE));
        SplittableRandom random = new SplittableRandom(self.name().hashCode());
        Predicate<String> isTrialInstance = id -> members.rankOwners(id).get(0).equals(self);
        quarantine = new CrashQuarantine(timers, isTrialInstance, log);
        quarantineKeeper = new QuarantineKeeper(quarantine, isTrialInstance);
        context = new RelayContext(
                table,
                new ExpectedCompletionSelector(random, 2e6, 150e6),
                health,
                pools,
                endpointCalls == null ? calls : endpointCalls,
                budget,
                Hedging.of(hedgeLimits, budget, timers::now),
                new IdleConnectionLimits(() -> 1),
                new RequestShares(members, random),
                new BrittleShares(
                        members, timers::now, new SplittableRandom(self.name().hashCode() + 1)),
                new ColdShares(members, new ColdShares.Tolerance(1.5, 5)),
                quarantine,
                new StreamOrigins(new VersionHistory(timers, random), timers),
                new ObjectiveAdmission(),
                timers,
                random,
                log,
                meters);
        instance = new RelayInstance(context);
        pools.start();
    }

    /** Creates a configured instance that hedges requests; its calls go to its own fake if no calls are given. */
    static RelayInstanceFixture hedging(
            TimerService timers, HedgeLimits limits, double retryAllowance, @Nullable EndpointCalls endpointCalls) {
        RelayInstanceFixture fixture =
                new RelayInstanceFixture(timers, member(0), List.of(), retryAllowance, endpointCalls, limits);
        fixture.instance.applyConfig(config(1, "plain"));
        fixture.listEndpoints();
        return fixture;
    }

    static Member member(int index) {
        return new Member("m" + index, 1, "a", "10.0.1." + index, 7_000, 1);
    }

    /** Creates a fixture with a configuration and endpoints. */
    static RelayInstanceFixture configured() {
        RelayInstanceFixture fixture = new RelayInstanceFixture();
        fixture.instance.applyConfig(config(1, "plain"));
        fixture.listEndpoints();
        return fixture;
    }

    /** Lists all endpoints but those with the given names. */
    void listEndpoints(String... absent) {
        List<EndpointStatus> listing = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            listing.add(status("p" + i, "plain", 10 + i));
            listing.add(status("x" + i, "other", 20 + i));
        }
        for (int i = 0; i < 2; i++) {
            listing.add(status("g" + i, "engine", 30 + i));
            listing.add(status("s" + i, "encode", 40 + i));
        }
        listing.removeIf(status -> List.of(absent).contains(status.endpoint().name()));
        instance.getEndpointUpdates().onEndpoints(listing);
    }

    static EndpointStatus status(String name, String service, int host) {
        return new EndpointStatus(new Endpoint(name, service, "a", "10.0.0." + host, 80), false);
    }

    /** Creates a configuration whose plain routes use the given service. */
    static RoutingConfig config(long version, String plain) {
        List<PieceStage> stages =
                List.of(new PieceStage("encode", List.of(), 1_000), new PieceStage("encode", List.of(0), 1_000));
        List<Route> routes = List.of(
                route("get", RequestKind.IDEMPOTENT, plain, 2, List.of()),
                route("post", RequestKind.NON_IDEMPOTENT, plain, 1, List.of()),
                route("chat", RequestKind.RESUMABLE_STREAM, "engine", 2, List.of()),
                route("verdict", RequestKind.SINGLE_STREAM, "engine", 1, List.of()),
                route("staged", RequestKind.RESUMABLE_STREAM, "engine", 2, stages));
        List<ServiceSpec> services = List.of(
                new ServiceSpec(plain, null),
                new ServiceSpec("engine", null),
                new ServiceSpec("encode", new PieceService(1, 2, 8, 200, 20, 100, 4_000)));
        return RoutingConfig.of(
                version,
                routes,
                services,
                WorkspaceKeys.of(Map.of(KEY, new Workspace("w1", null))),
                CallerLimits.DEFAULT);
    }

    private static Route route(String name, RequestKind kind, String service, int attempts, List<PieceStage> stages) {
        return new Route(
                name,
                HOST,
                "/" + name + "/",
                kind,
                4_000,
                1_000,
                250,
                0,
                List.of(new WeightedService(service, 1)),
                attempts,
                stages,
                false,
                kind.isStream());
    }

    RecordingExchange request(String path, long deadlineMillis, Integer... pieceCounts) {
        return request(path, KEY, deadlineMillis, pieceCounts);
    }

    RecordingExchange request(String path, @Nullable String key, long deadlineMillis, Integer... pieceCounts) {
        RecordingExchange exchange = new RecordingExchange();
        RelayRequest request = new RelayRequest(
                "r" + nextId++,
                HOST,
                path,
                key,
                deadlineMillis,
                List.of("root", "session", "own"),
                List.of(pieceCounts),
                "piece-key",
                nextId,
                null);
        instance.onRequest(request, exchange);
        return exchange;
    }

    void advance(long millis) {
        long end = timers.now() + millis * MILLI;
        while (timers.getNextDue() <= end) {
            timers.advance(timers.getNextDue());
        }
        timers.advance(end);
    }

    /** Produces the pieces of all open calls and of the calls that follow, until no call is open. */
    void producePieces() {
        for (int i = 0; i < pieces.getSent().size(); i++) {
            if (!pieces.getSent().get(i).isEnded()) {
                pieces.getSent().get(i).answerProduced();
            }
        }
    }
}
