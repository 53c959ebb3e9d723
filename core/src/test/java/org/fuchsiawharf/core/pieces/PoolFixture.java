package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.health.OutlierEjection;
import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * A fixture with one pool and its dependencies, on virtual time.
 *
 * <p>Confined to the test's thread.
 */
final class PoolFixture {
    static final String SERVICE = "encode";
    static final PoolKey POOL = PoolKey.ofAllZones(SERVICE);
    static final long MILLI = 1_000_000L;

    final TimerService timers = new TimerService(0);
    final FakePieceCalls calls = new FakePieceCalls();
    final EndpointTable table = new EndpointTable("a", NoConcurrencyLimit::new);
    final SharedRetryBudget budget = new SharedRetryBudget(0.2, 1_000, 10_000 * MILLI, () -> 1, timers::now);
    final PoolContext context;
    final FleetStagePool pool;
    final List<PieceResult> results = new ArrayList<>();

    /** Creates a fixture with one endpoint in each given zone and the given maximum of pieces in a batch. */
    PoolFixture(int batch, double resultSpaceMb, String... zones) {
        this(DecisionLog.NONE, batch, resultSpaceMb, zones);
    }

    /** Creates a fixture whose pool writes its decisions to a log. */
    PoolFixture(DecisionLog log, int batch, double resultSpaceMb, String... zones) {
        context = new PoolContext(table, new OutlierEjection(), calls, timers, budget, log, Meters.NONE);
        pool = new FleetStagePool(POOL, context);
        listEndpoints(zones);
        pool.setSpec(new PieceService(1, 2, batch, 200, 20, resultSpaceMb, 4_000));
    }

    /** Lists one endpoint in each given zone. */
    void listEndpoints(String... zones) {
        List<EndpointStatus> endpoints = new ArrayList<>();
        for (int i = 0; i < zones.length; i++) {
            endpoints.add(new EndpointStatus(new Endpoint("e" + i, SERVICE, zones[i], "10.0.0." + i, 80), false));
        }
        table.update(endpoints);
        pool.dispatch();
    }

    static PieceOrder order(String request, int piece, PieceTerms terms) {
        return new PieceOrder(new PieceId(request, 0, piece), "key", List.of(), terms);
    }

    /** Gets terms of rank 0 without a zone, with the due time and deadline relative to the current time. */
    PieceTerms terms(long dueMillis, long deadlineMillis) {
        return new PieceTerms(0, "", 1_000, 0, timers.now() + dueMillis * MILLI, timers.now() + deadlineMillis * MILLI);
    }

    /** Gets terms of rank 0 without a zone, with a late due time and the given size of the result. */
    static PieceTerms termsOfSize(long resultBytes) {
        return new PieceTerms(0, "", resultBytes, 0, 60_000 * MILLI, 60_000 * MILLI);
    }

    void submit(String request, int pieces, PieceTerms terms) {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            orders.add(order(request, i, terms));
        }
        pool.submit(orders, results::add);
    }

    void advance(long millis) {
        long end = timers.now() + millis * MILLI;
        while (timers.getNextDue() <= end) {
            timers.advance(timers.getNextDue());
        }
        timers.advance(end);
    }

    long count(PieceResult.Status status) {
        return results.stream().filter(r -> r.status() == status).count();
    }
}
