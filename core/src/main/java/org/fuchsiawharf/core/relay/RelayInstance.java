package org.fuchsiawharf.core.relay;

import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.RoutingConfig;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.route.Workspace;
import org.fuchsiawharf.core.stream.StreamOrigin;
import org.jspecify.annotations.Nullable;

/**
 * Routes the requests that one instance relays.
 *
 * <p>A configuration is applied as a whole, and only if it is newer than the current one. A request is routed by the
 * configuration that was current at its arrival. Every request gets exactly one response, unless its caller closes
 * the connection before. Confined to the decision loop.
 */
public final class RelayInstance {
    /** Reason given to callers whose request or part of a prompt is quarantined. */
    static final String QUARANTINE_DETAIL = "endpoints crashed under the request or a part of its prompt";

    /** Retry delay while no configuration is available; the store usually responds again within about a second. */
    private static final long NO_CONFIGURATION_RETRY_MILLIS = 500;

    /** Retry delay while the instance stops; another instance accepts the request immediately. */
    private static final long STOPPING_RETRY_MILLIS = 50;

    private final RelayContext context;
    private final EndpointUpdates endpointUpdates;
    private final StageForecast forecast;
    private final Map<CallerExchange, RelayTask> tasks = new IdentityHashMap<>();
    private final Map<CallerExchange, RoutedRequest> takeUps = new IdentityHashMap<>();
    private final Map<String, RouteStatistics> statistics = new HashMap<>();
    private @Nullable RoutingConfig config;
    private @Nullable StopAdmission stopAdmission;
    private boolean rejecting;

    /**
     * Creates an instance without a configuration.
     *
     * @param context the components that its requests share, not null
     */
    public RelayInstance(RelayContext context) {
        this.context = context;
        this.endpointUpdates = new EndpointUpdates(context);
        this.forecast = new StageForecast(this::findPieceService, context.pools()::getBacklog);
        context.requestShares().setStageOwners(context.pools()::rankOwners);
        context.brittleShares().setStageOwners(context.pools()::rankOwners);
        context.coldShares().setStageOwners(context.pools()::rankOwners);
        context.quarantine().setQuarantineListener(this::onQuarantined);
        context.table().setReplacementListener(context.quarantine()::onReplaced);
    }

    // -----------------------------------------------------------------------

    /**
     * Applies a configuration if it is newer than the current one.
     *
     * @param next the configuration, not null
     * @return true if the configuration was applied
     */
    public boolean applyConfig(RoutingConfig next) {
        RoutingConfig current = config;
        if (current != null && next.getVersion() <= current.getVersion()) {
            return false;
        }
        config = next;
        statistics.keySet().retainAll(next.getRouteNames());
        context.idleConnections().setServices(next.getServices().values());
        context.coldShares().setServices(next.getServices().values());
        endpointUpdates.onServicesChanged();
        context.pools().setServices(next.getServices().values());
        context.log()
                .write(
                        "config.adopted",
                        "version",
                        next.getVersion(),
                        "replaces",
                        current == null ? null : current.getVersion());
        return true;
    }

    /**
     * Gets the component that applies what is known of the endpoints.
     *
     * @return the component, used on the decision loop, never null
     */
    public EndpointUpdates getEndpointUpdates() {
        return endpointUpdates;
    }

    /**
     * Gets the number of requests in flight.
     *
     * @return the number of requests without a response
     */
    public int getActive() {
        return tasks.size() + takeUps.size();
    }

    // -----------------------------------------------------------------------

    /**
     * Processes a new request.
     *
     * @param request the request, not null
     * @param exchange the exchange that responds to the request, not null
     */
    public void onRequest(RelayRequest request, CallerExchange exchange) {
        RoutingConfig current = config;
        if (rejecting) {
            rejectStopping(request, exchange);
            return;
        }
        if (current == null) {
            reject(
                    request,
                    exchange,
                    new Refusal(
                            Refusal.Kind.NOT_RUN,
                            ErrorCode.STORE_UNAVAILABLE,
                            "no configuration is known yet",
                            NO_CONFIGURATION_RETRY_MILLIS));
            return;
        }
        Route route = current.match(request.host(), request.path());
        if (route == null) {
            reject(
                    request,
                    exchange,
                    new Refusal(Refusal.Kind.NO_ROUTE, ErrorCode.UNKNOWN_PIPELINE, "no route matches", 0));
            return;
        }
        Workspace workspace = current.findWorkspace(request.key());
        if (workspace == null && !route.open() && current.requiresKey()) {
            reject(
                    request,
                    exchange,
                    new Refusal(
                            Refusal.Kind.NO_WORKSPACE, ErrorCode.UNKNOWN_WORKSPACE, "no workspace holds the key", 0));
            return;
        }
        RoutedRequest routedRequest = RoutedRequest.of(request, exchange, route, workspace, current.getVersion());
        Suspect quarantined = context.quarantine().findQuarantined(routedRequest.suspects());
        if (quarantined != null) {
            context.log()
                    .write(
                            "quarantine.refused",
                            "request",
                            request.id(),
                            "kind",
                            quarantined.kind().getWireName(),
                            "id",
                            quarantined.id());
            reject(
                    request,
                    exchange,
                    new Refusal(
                            Refusal.Kind.NOT_RUN,
                            ErrorCode.QUARANTINED,
                            QUARANTINE_DETAIL,
                            context.quarantine().getRetryMillis(quarantined)));
            return;
        }
        if (!admitWhileStopping(routedRequest)) {
            rejectStopping(request, exchange);
            return;
        }
        if (routedRequest.isTakeUp()) {
            takeUps.put(exchange, routedRequest);
            context.origins()
                    .find(routedRequest.streamId(), route.serviceNames(), origin -> takeUp(routedRequest, origin));
        } else {
            startTask(routedRequest);
        }
    }

    private boolean admitWhileStopping(RoutedRequest routedRequest) {
        StopAdmission admission = stopAdmission;
        if (admission == null) {
            return true;
        }
        Route route = routedRequest.route();
        RelayRequest request = routedRequest.request();
        RouteStatistics routeStatistics = getStatistics(route);
        StageForecast.StageEstimate stages =
                forecast.estimate(route, request.pieces(), route.getRank(routedRequest.workspace()));
        StopAdmission.Decision decision = admission.decide(
                route,
                request.deadlineMillis(),
                stages.lastMillis() + routeStatistics.getResponseMillis(),
                routeStatistics.getDurations(),
                context.timers().now());
        RequestDecisionLog.writeStopAdmission(context.log(), routedRequest, decision);
        return decision.admitted();
    }

    private RouteStatistics getStatistics(Route route) {
        return statistics.computeIfAbsent(route.name(), name -> new RouteStatistics(context.timers()::now));
    }

    // The caller may have left while the origin was looked up.
    private void takeUp(RoutedRequest routedRequest, @Nullable StreamOrigin origin) {
        if (takeUps.remove(routedRequest.exchange()) == null) {
            return;
        }
        if (origin == null || !routedRequest.route().serviceNames().contains(origin.service())) {
            String detail = "the software version that began the stream is unknown";
            reject(
                    routedRequest.request(),
                    routedRequest.exchange(),
                    new Refusal(Refusal.Kind.NOT_RUN, ErrorCode.STREAM_ORIGIN_UNKNOWN, detail, 0));
            return;
        }
        context.log()
                .write(
                        "stream.taken_up",
                        "request",
                        routedRequest.request().id(),
                        "first_request",
                        routedRequest.streamId(),
                        "service",
                        origin.service(),
                        "version",
                        origin.version());
        startTask(routedRequest.withOrigin(origin));
    }

    private void startTask(RoutedRequest routedRequest) {
        CallerExchange exchange = routedRequest.exchange();
        RelayTask task = new RelayTask(
                context, forecast, routedRequest, getStatistics(routedRequest.route()), () -> tasks.remove(exchange));
        tasks.put(exchange, task);
        task.start();
    }

    /**
     * Ends the request of a caller that closed its connection before the response.
     *
     * @param exchange the exchange that was passed with the request, not null
     */
    public void onCallerLeft(CallerExchange exchange) {
        takeUps.remove(exchange);
        RelayTask task = tasks.get(exchange);
        if (task != null) {
            task.onCallerLeft();
        }
    }

    /**
     * Rejects from now on the new requests that probably do not end in time, because the instance is about to stop.
     *
     * @param endNanos the time at which the instance ends all requests, in nanoseconds
     */
    public void rejectLateRequests(long endNanos) {
        stopAdmission = new StopAdmission(endNanos);
    }

    /** Rejects all new requests from now on, because the instance is about to stop. */
    public void rejectNewRequests() {
        rejecting = true;
    }

    /** Ends all requests in flight with a refusal, because the instance stops now. */
    public void endActiveRequests() {
        List.copyOf(tasks.values()).forEach(task -> runForOne(task::onStopping));
        List<RoutedRequest> waiting = List.copyOf(takeUps.values());
        takeUps.clear();
        waiting.forEach(takeUp -> runForOne(() -> rejectStopping(takeUp.request(), takeUp.exchange())));
    }

    // A request whose end fails must not keep the others from ending.
    private void runForOne(Runnable step) {
        try {
            step.run();
        } catch (Throwable e) {
            context.log().write("request.failed", "cause", e.toString());
        }
    }

    private void onQuarantined(Suspect suspect) {
        List.copyOf(tasks.values()).forEach(task -> task.onQuarantined(suspect));
    }

    private void rejectStopping(RelayRequest request, CallerExchange exchange) {
        String detail = "this instance stops";
        reject(
                request,
                exchange,
                new Refusal(Refusal.Kind.NOT_RUN, ErrorCode.SHUTTING_DOWN, detail, STOPPING_RETRY_MILLIS));
    }

    private void reject(RelayRequest request, CallerExchange exchange, Refusal refusal) {
        RoutingConfig current = config;
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
                        current == null ? null : current.getVersion());
        exchange.refuse(refusal);
    }

    private @Nullable PieceService findPieceService(String service) {
        RoutingConfig current = config;
        ServiceSpec spec = current == null ? null : current.getServices().get(service);
        return spec == null ? null : spec.pieces();
    }
}
