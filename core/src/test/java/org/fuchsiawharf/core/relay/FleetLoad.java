package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiawharf.core.health.OutlierEjection;
import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.pieces.PoolContext;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.route.ClientLimits;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ExpectedCompletionSelector;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Plays an open load on a fleet of instances and counts what callers get, on virtual time and without a network.
 *
 * <p>Engines begin to answer after the reading of the prompt; the stage endpoints are {@link SimulatedStage}. Confined to the test's thread.
 */
final class FleetLoad {
    private static final long MILLI = 1_000_000L;
    private static final long HOP_NANOS = MILLI;
    private static final String ENGINE = "engine";
    private static final List<String> ZONES = List.of("a", "b", "c");

    /**
     * A kind of request.
     *
     * @param route its route
     * @param perSecond its requests a second
     * @param pieces draws the number of pieces of each stage
     * @param readMillis how long an engine reads its prompt
     */
    record Kind(
            Route route,
            double perSecond,
            java.util.function.Function<SplittableRandom, List<Integer>> pieces,
            long readMillis) {}

    /**
     * A stage service.
     *
     * @param name its name
     * @param spec how its endpoints work
     * @param endpoints the number of its endpoints
     */
    record Stage(String name, PieceService spec, int endpoints) {}

    /** What the callers of one kind got. */
    static final class Tally {
        int offered;
        int onTime;
        int late;
        int refused;
        int refusedAgain;

        /** Adds what callers got in another play. */
        Tally add(Tally other) {
            offered += other.offered;
            onTime += other.onTime;
            late += other.late;
            refused += other.refused;
            refusedAgain += other.refusedAgain;
            return this;
        }

        double onTimeShare() {
            return offered == 0 ? 1 : onTime / (double) offered;
        }

        @Override
        public String toString() {
            return String.format(
                    "%.3f on time, %.3f late, %.3f refused, %.3f again, of %d",
                    onTimeShare(),
                    late / (double) offered,
                    refused / (double) offered,
                    refusedAgain / (double) offered,
                    offered);
        }
    }

    private final TimerService timers = new TimerService(0);
    private final SplittableRandom random;
    private final List<Kind> kinds;
    private final List<Stage> stages;
    private final boolean pooled;
    private final RequestAdmission admission;
    private final SimulatedStage stage = new SimulatedStage(timers, HOP_NANOS);
    private final List<EndpointStatus> listed = new ArrayList<>();
    private final List<RelayInstance> instances = new ArrayList<>();
    private final Map<String, StagePools> poolsByName = new HashMap<>();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private final Map<String, Burst> bursts = new HashMap<>();
    private int nextId;

    /** A time in which one kind comes more often. */
    private record Burst(double factor, long fromNanos, long toNanos) {
        private boolean covers(long now) {
            return now >= fromNanos && now < toNanos;
        }
    }

    FleetLoad(List<Kind> kinds, List<Stage> stages, boolean pooled, RequestAdmission admission, long seed) {
        this.kinds = kinds;
        this.stages = stages;
        this.pooled = pooled;
        this.admission = admission;
        this.random = new SplittableRandom(seed);
    }

    /** Plays the kinds at so many times their usual rate and tells what callers got. */
    Map<String, Tally> play(int instanceCount, double load, long seconds) {
        listEndpoints();
        List<Member> members = new ArrayList<>();
        for (int i = 0; i < instanceCount; i++) {
            members.add(new Member("m" + i, 1, ZONES.get(i % 3), "10.1.0." + i, 7_000, 1));
        }
        members.forEach(member -> instances.add(newInstance(member, members)));
        for (Kind kind : kinds) {
            tallies.put(kind.route().name(), new Tally());
            schedule(kind, load, seconds * 1_000 * MILLI);
        }
        long end = (seconds + 10) * 1_000 * MILLI;
        while (timers.getNextDue() <= end) {
            timers.advance(timers.getNextDue());
        }
        return tallies;
    }

    /** Lets one kind come so many times as often for some seconds. */
    FleetLoad burst(String route, double factor, long fromSecond, long toSecond) {
        bursts.put(route, new Burst(factor, fromSecond * 1_000 * MILLI, toSecond * 1_000 * MILLI));
        return this;
    }

    /**
     * Fills a share of every stage endpoint's space with results that nobody frees, as the death of all instances
     * leaves them; they lapse one after the other.
     */
    FleetLoad strand(double share, long atSecond) {
        timers.schedule(atSecond * 1_000 * MILLI, () -> stage.strand(share));
        return this;
    }

    @Override
    public String toString() {
        return (pooled ? "pooled, " : "each for itself, ")
                + admission.getClass().getSimpleName();
    }

    /** Gets how full calls were and how many megabytes were made away from where they were wanted. */
    String effort() {
        return stage.effort();
    }

    private void schedule(Kind kind, double load, long end) {
        Burst burst = bursts.get(kind.route().name());
        double factor = burst != null && burst.covers(timers.now()) ? burst.factor() : 1;
        double seconds = -Math.log(1 - random.nextDouble()) / (kind.perSecond() * load * factor);
        long at = timers.now() + (long) (seconds * 1e9);
        if (at < end) {
            timers.schedule(at, () -> {
                arrive(kind);
                schedule(kind, load, end);
            });
        }
    }

    private void arrive(Kind kind) {
        Objects.requireNonNull(tallies.get(kind.route().name())).offered++;
        ask(kind, timers.now(), kind.pieces().apply(random), true);
    }

    /** Asks once, and a second time when a refusal advises it, as callers do. */
    private void ask(Kind kind, long arrived, List<Integer> pieces, boolean first) {
        Tally tally = Objects.requireNonNull(tallies.get(kind.route().name()));
        long left = kind.route().timeoutMillis() - (timers.now() - arrived) / MILLI;
        RelayRequest request = new RelayRequest(
                "r" + nextId++,
                kind.route().host(),
                kind.route().prefix() + "x",
                null,
                left,
                List.of("session" + random.nextInt(160), "own" + nextId),
                pieces,
                "key");
        instances.get(random.nextInt(instances.size())).onRequest(request, new CallerExchange() {
            @Override
            public void refuse(Refusal refusal) {
                if (first && refusal.retryAfterMillis() > 0) {
                    long pause = Math.min(refusal.retryAfterMillis(), left / 3);
                    timers.schedule(timers.now() + pause * MILLI, () -> ask(kind, arrived, pieces, false));
                } else {
                    tally.refused++;
                    tally.refusedAgain += first ? 0 : 1;
                }
            }

            @Override
            public void relay(EndpointAnswer answer) {
                throw new IllegalStateException("engines answer with streams here");
            }

            @Override
            public void finishStream() {
                if (timers.now() - arrived <= kind.route().objectiveMillis() * MILLI) {
                    tally.onTime++;
                } else {
                    tally.late++;
                }
            }

            @Override
            public void breakOff() {
                tally.refused++;
            }
        });
    }

    // -----------------------------------------------------------------------

    private void listEndpoints() {
        int host = 0;
        for (Stage stage : stages) {
            for (int i = 0; i < stage.endpoints(); i++) {
                addEndpoint(stage.name() + "-" + i, stage.name(), i, host++, stage.spec());
            }
        }
        for (int i = 0; i < 6; i++) {
            addEndpoint(ENGINE + "-" + i, ENGINE, i, host++, null);
        }
    }

    private void addEndpoint(
            String name, String service, int index, int host, @org.jspecify.annotations.Nullable PieceService spec) {
        Endpoint endpoint = new Endpoint(name, service, ZONES.get(index % 3), "10.2.0." + host, 80);
        listed.add(new EndpointStatus(endpoint, false));
        if (spec != null) {
            stage.add(endpoint, spec);
        }
    }

    private RelayInstance newInstance(Member self, List<Member> all) {
        MemberTable members = new MemberTable(self);
        if (pooled) {
            members.replace(all);
        }
        EndpointTable table = new EndpointTable(self.zone(), NoConcurrencyLimit::new);
        OutlierEjection health = new OutlierEjection();
        SharedRetryBudget budget = new SharedRetryBudget(0.2, 58, 10_000 * MILLI, members::size, timers::now);
        StagePools pools = new StagePools(
                members,
                new SimulatedPeers(self.name(), all),
                new PoolContext(table, health, stage, timers, budget, DecisionLog.NONE, Meters.NONE));
        poolsByName.put(self.name(), pools);
        SplittableRandom own = random.split();
        RelayInstance instance = new RelayInstance(new RelayContext(
                table,
                new ExpectedCompletionSelector(own, 2e6, 150e6),
                health,
                pools,
                this::callEngine,
                budget,
                admission,
                timers,
                own,
                DecisionLog.NONE,
                Meters.NONE));
        List<ServiceSpec> services = new ArrayList<>();
        services.add(new ServiceSpec(ENGINE, null));
        stages.forEach(stage -> services.add(new ServiceSpec(stage.name(), stage.spec())));
        pools.start();
        instance.adopt(RoutingConfig.of(
                1, kinds.stream().map(Kind::route).toList(), services, Map.of(), ClientLimits.DEFAULT));
        instance.onEndpoints(listed);
        return instance;
    }

    private EndpointCalls.Call callEngine(
            CallerExchange exchange, Endpoint endpoint, EndpointCalls.Terms terms, EndpointCalls.Listener listener) {
        long read = kinds.stream()
                .filter(kind -> kind.route().priority() == terms.rank())
                .mapToLong(Kind::readMillis)
                .findFirst()
                .orElse(50);
        timers.schedule(timers.now() + read * MILLI, () -> {
            listener.onStreamStarted();
            listener.onStreamEnded(1);
        });
        return new EndpointCalls.Call() {
            @Override
            public void cancel() {}

            @Override
            public long getHeardNanos() {
                return timers.now();
            }
        };
    }

    /** Messages between instances that take one hop. */
    private final class SimulatedPeers implements PeerPort {
        private final String self;
        private final List<Member> all;

        private SimulatedPeers(String self, List<Member> all) {
            this.self = self;
            this.all = all;
        }

        @Override
        public void connect(Collection<Member> peers) {}

        @Override
        public boolean send(String member, PeerMessage message) {
            timers.schedule(timers.now() + HOP_NANOS, () -> Objects.requireNonNull(poolsByName.get(member))
                    .onMessage(self, message));
            return true;
        }

        @Override
        public void reset(String member) {}

        @Override
        public boolean isConnected(String member) {
            return connected().contains(member);
        }

        @Override
        public Collection<String> connected() {
            return pooled
                    ? all.stream()
                            .map(Member::name)
                            .filter(n -> !n.equals(self))
                            .toList()
                    : List.of();
        }
    }
}
