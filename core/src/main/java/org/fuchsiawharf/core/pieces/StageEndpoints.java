package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ServicePool;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Tracks the endpoints of one pool and the calls in flight from it to each of them.
 *
 * <p>Confined to the decision loop.
 */
final class StageEndpoints {
    /** Time without new calls to an endpoint whose queue was full; about half a call. */
    private static final long FULL_QUEUE_BACKOFF_NANOS = 120_000_000L;

    private final PoolKey key;
    private final EndpointTable table;
    private final HealthPolicy health;
    private final TimerService timers;
    private final DecisionLog log;
    private final Map<String, Integer> callsByEndpoint = new HashMap<>();
    private final Map<String, Long> backoffUntilNanos = new HashMap<>();

    StageEndpoints(PoolKey key, PoolContext context) {
        this.key = key;
        this.table = context.table();
        this.health = context.health();
        this.timers = context.timers();
        this.log = context.log();
    }

    /** Gets the usable endpoints, the fastest first; all that are not leaving if none is usable. */
    List<EndpointState> getUsable() {
        ServicePool pool = table.getPool(key.service());
        health.allowProbes(pool, timers.now());
        List<EndpointState> usable = new ArrayList<>();
        List<EndpointState> ejected = new ArrayList<>();
        for (EndpointState endpoint : pool.getEndpoints()) {
            if (key.covers(endpoint.getEndpoint()) && !endpoint.isLeaving()) {
                (endpoint.isUsable() ? usable : ejected).add(endpoint);
            }
        }
        if (usable.isEmpty()) {
            usable = ejected;
        }
        // An instance that does not reach a zone would find its endpoints by one call after the other that fails.
        long now = timers.now();
        if (usable.stream().anyMatch(endpoint -> !pool.isInSuspectedZone(endpoint, now))) {
            usable.removeIf(endpoint -> pool.isInSuspectedZone(endpoint, now));
        }
        usable.sort(Comparator.comparing(EndpointState::isEjected)
                .thenComparingDouble(e -> e.getServiceTime().getMean()));
        return usable;
    }

    boolean hasIdleSlot(EndpointState endpoint, int slots) {
        String name = endpoint.getEndpoint().name();
        return !isBackingOff(name)
                && endpoint.getRequestLimit().maySend(timers.now())
                && endpoint.hasRoom()
                && callsByEndpoint.getOrDefault(name, 0) < slots;
    }

    /**
     * Checks whether any of the endpoints is backing off, limits requests or is brittle without room, so that its slots
     * become idle without a further event.
     */
    boolean isAnyBlocked(List<EndpointState> candidates) {
        return candidates.stream()
                .anyMatch(e -> isBackingOff(e.getEndpoint().name())
                        || !e.getRequestLimit().maySend(timers.now())
                        || !e.hasRoom());
    }

    /** Backs off from an endpoint whose queue was full. */
    void backOff(EndpointState endpoint, long sentNanos) {
        endpoint.getBrittleness().onRejected(endpoint.getSlots(), sentNanos);
        backoffUntilNanos.put(endpoint.getEndpoint().name(), timers.now() + FULL_QUEUE_BACKOFF_NANOS);
    }

    void onSent(EndpointState endpoint) {
        callsByEndpoint.merge(endpoint.getEndpoint().name(), 1, Integer::sum);
        endpoint.onSent();
        endpoint.getRequestLimit().onSent(timers.now());
        endpoint.getBrittleness().onSent(timers.now());
    }

    void onEnded(EndpointState endpoint) {
        callsByEndpoint.merge(endpoint.getEndpoint().name(), -1, Integer::sum);
        endpoint.onEnded();
    }

    void onAnswered(EndpointState endpoint) {
        endpoint.getBrittleness().onAccepted();
        table.getZoneReach().onResponse(endpoint.getEndpoint().zone());
    }

    void onFailed(EndpointState endpoint, CallFailure failure) {
        if (failure == CallFailure.NOT_SENT) {
            Endpoint target = endpoint.getEndpoint();
            if (table.getZoneReach().onNotConnected(target.zone(), target.name(), timers.now())) {
                log.write("zone.suspected", "zone", target.zone(), "endpoint", target.name());
            }
        }
    }

    private boolean isBackingOff(String name) {
        Long untilNanos = backoffUntilNanos.get(name);
        if (untilNanos != null && untilNanos <= timers.now()) {
            backoffUntilNanos.remove(name);
            return false;
        }
        return untilNanos != null;
    }
}
