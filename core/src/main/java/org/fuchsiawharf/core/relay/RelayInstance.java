package org.fuchsiawharf.core.relay;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.route.Workspace;
import org.fuchsiawharf.core.routing.EndpointState;
import org.jspecify.annotations.Nullable;

/**
 * Decides about the requests that one instance relays.
 *
 * <p>A configuration is adopted whole and only if it is newer than the one in force; a request is decided by the
 * configuration that was in force at its arrival. Every request gets exactly one answer. Confined to the decision
 * loop.
 */
public final class RelayInstance {
    /** Advice to come back while no configuration is known; the store answers again within about a second. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

    /** Advice to come back to a caller of a stopping instance; another instance takes it at once. */
    private static final long STOPPING_RETRY_MILLIS = 50;

    private final RelayContext context;
    private final StageForecast forecast;
    private final Map<CallerExchange, RelayTask> tasks = new IdentityHashMap<>();
    private final Map<String, RouteStatistics> statistics = new HashMap<>();
    private @Nullable RoutingConfig config;
    private boolean refusing;

    /**
     * Creates an instance without a configuration.
     *
     * @param context what its requests share, not null
     */
    public RelayInstance(RelayContext context) {
        this.context = context;
        this.forecast = new StageForecast(this::findPieceService, context.pools()::getBacklog);
    }

    // -----------------------------------------------------------------------

    /**
     * Adopts a configuration if it is newer than the one in force.
     *
     * @param next the configuration, not null
     * @return whether it was adopted
     */
    public boolean adopt(RoutingConfig next) {
        RoutingConfig present = config;
        if (present != null && next.getVersion() <= present.getVersion()) {
            return false;
        }
        config = next;
        statistics.clear();
        context.pools().setServices(next.getServices().values());
        context.log()
                .write(
                        "config.adopted",
                        "version",
                        next.getVersion(),
                        "replaces",
                        present == null ? null : present.getVersion());
        return true;
    }

    /**
     * Takes in every endpoint that is known.
     *
     * @param endpoints the endpoints, not null
     */
    public void onEndpoints(List<EndpointStatus> endpoints) {
        Set<String> changed = context.table().update(endpoints);
        context.log().write("endpoints.changed", "known", endpoints.size(), "services", changed.toString());
        context.pools().onEndpointsChanged();
    }

    /**
     * Takes in a load report that came with an answer.
     *
     * @param endpoint the endpoint's name, not null
     * @param running calls that run there
     * @param waiting calls that wait there
     * @param slots calls that can run at once
     */
    public void onLoad(String endpoint, int running, int waiting, int slots) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null) {
            state.onReport(running, waiting, slots);
            context.table().getPool(state.getEndpoint().service()).onReport(state);
        }
    }

    /**
     * Learns that an endpoint says it leaves.
     *
     * @param endpoint the endpoint's name, not null
     */
    public void onLeaving(String endpoint) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null && !state.isLeaving()) {
            context.log().write("endpoint.leaving", "endpoint", endpoint, "source", "answer");
            state.onLeaving();
        }
    }

    /**
     * Gets the number of requests without an answer.
     *
     * @return the count
     */
    public int getActive() {
        return tasks.size();
    }

    // -----------------------------------------------------------------------

    /**
     * Takes in a request.
     *
     * @param request the request, not null
     * @param exchange answers it, not null
     */
    public void onRequest(RelayRequest request, CallerExchange exchange) {
        RoutingConfig present = config;
        if (refusing) {
            refuse(
                    request,
                    exchange,
                    new Refusal(
                            Refusal.Kind.NOT_RUN,
                            ErrorCode.SHUTTING_DOWN,
                            "this instance stops",
                            STOPPING_RETRY_MILLIS));
            return;
        }
        if (present == null) {
            refuse(
                    request,
                    exchange,
                    new Refusal(
                            Refusal.Kind.NOT_RUN,
                            ErrorCode.STORE_UNAVAILABLE,
                            "no configuration is known yet",
                            NO_CONFIGURATION_RETRY_MILLIS));
            return;
        }
        Route route = present.match(request.host(), request.path());
        if (route == null) {
            refuse(
                    request,
                    exchange,
                    new Refusal(Refusal.Kind.NO_ROUTE, ErrorCode.UNKNOWN_PIPELINE, "no route matches", 0));
            return;
        }
        Workspace workspace = present.findWorkspace(request.key());
        if (workspace == null && !route.open() && present.hasWorkspaces()) {
            refuse(
                    request,
                    exchange,
                    new Refusal(
                            Refusal.Kind.NO_WORKSPACE, ErrorCode.UNKNOWN_WORKSPACE, "no workspace holds the key", 0));
            return;
        }
        RelayTask.Order order = new RelayTask.Order(request, exchange, route, workspace, present.getVersion());
        RelayTask task = new RelayTask(
                context,
                forecast,
                order,
                statistics.computeIfAbsent(route.name(), r -> new RouteStatistics()),
                () -> tasks.remove(exchange));
        tasks.put(exchange, task);
        task.start();
    }

    /**
     * Learns that a caller closed its connection before its answer.
     *
     * @param exchange the exchange given with the request, not null
     */
    public void onCallerLeft(CallerExchange exchange) {
        RelayTask task = tasks.get(exchange);
        if (task != null) {
            task.abandon();
        }
    }

    /** Refuses every request from now on, because the instance is about to stop. */
    public void refuseNew() {
        refusing = true;
    }

    /** Ends every request without an answer, because the instance stops now. */
    public void endAll() {
        List.copyOf(tasks.values()).forEach(RelayTask::onStopping);
    }

    private void refuse(RelayRequest request, CallerExchange exchange, Refusal refusal) {
        RoutingConfig present = config;
        context.meters().count("requests", refusal.code().getWireName());
        context.log()
                .write(
                        "request.refused",
                        "request",
                        request.id(),
                        "host",
                        request.host(),
                        "path",
                        request.path(),
                        "code",
                        refusal.code().getWireName(),
                        "detail",
                        refusal.detail(),
                        "config",
                        present == null ? null : present.getVersion());
        exchange.refuse(refusal);
    }

    private @Nullable PieceService findPieceService(String service) {
        RoutingConfig present = config;
        ServiceSpec spec = present == null ? null : present.getServices().get(service);
        return spec == null ? null : spec.pieces();
    }
}
