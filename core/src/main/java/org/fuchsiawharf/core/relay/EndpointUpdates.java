package org.fuchsiawharf.core.relay;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.routing.Brittleness;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.RequestLimit;
import org.fuchsiawharf.core.routing.ZoneEvacuations;

/**
 * Applies what the directory, the operator and the endpoints themselves state about endpoints.
 *
 * <p>Statements about endpoints that are not known are ignored. Confined to the decision loop.
 */
public final class EndpointUpdates {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final ZoneEvacuations evacuations = new ZoneEvacuations();
    private final Map<String, Long> appliedColdNanos = new HashMap<>();

    EndpointUpdates(RelayContext context) {
        this.context = context;
    }

    // -----------------------------------------------------------------------

    /**
     * Applies a listing of all known endpoints.
     *
     * @param endpoints the endpoints, not null
     */
    public void onEndpoints(List<EndpointStatus> endpoints) {
        evacuations.onListed(endpoints);
        appliedColdNanos
                .keySet()
                .retainAll(endpoints.stream()
                        .map(status -> status.endpoint().name() + "/" + status.incarnation())
                        .collect(Collectors.toSet()));
        context.origins().getHistory().onListed(endpoints);
        Set<String> changed = updateTable();
        context.pools().onEndpointsChanged();
        context.log()
                .write(
                        "endpoints.changed",
                        "known",
                        endpoints.size(),
                        "withheld",
                        evacuations.getWithheldCount(),
                        "services",
                        changed.toString());
    }

    /**
     * Replaces the availability zones whose endpoints the operator has taken out of use.
     *
     * @param zones the names of the zones, not null
     */
    public void onEvacuated(Set<String> zones) {
        Set<String> ended = evacuations.replace(zones);
        updateTable();
        long now = context.timers().now();
        int cold = context.coldShares().onReturned(context.table().getEndpoints(), ended, now);
        // Pieces that wait are sent at once, so that endpoints that return must be known as cold before.
        context.pools().onEndpointsChanged();
        context.meters().count("zone_evacuations", ended.isEmpty() ? "begun" : "ended");
        context.log()
                .write(
                        "zones.evacuated",
                        "zones",
                        zones.toString(),
                        "ended",
                        ended.toString(),
                        "unknown",
                        evacuations.getUnknownZones().toString(),
                        "withheld",
                        evacuations.getWithheldCount(),
                        "cold",
                        cold);
    }

    private Set<String> updateTable() {
        List<EndpointStatus> usable = evacuations.getUsable();
        Set<String> changed = context.table().update(usable);
        context.brittleShares().onListed(context.table().getEndpoints());
        usable.forEach(this::applyColdTime);
        return changed;
    }

    // Each statement counts once, so that an entry that states an endless time does not limit its endpoint for ever.
    private void applyColdTime(EndpointStatus status) {
        String process = status.endpoint().name() + "/" + status.incarnation();
        Long applied = appliedColdNanos.put(process, status.coldUntilNanos());
        if (applied == null || applied != status.coldUntilNanos()) {
            onCold(status.endpoint().name(), status.coldUntilNanos());
        }
    }

    /** Applies the cold times of all endpoints again, because what their services bear has changed. */
    void onServicesChanged() {
        appliedColdNanos.clear();
        evacuations.getUsable().forEach(this::applyColdTime);
    }

    /**
     * Limits the requests to an endpoint that stated, in its entry or in a response, that it is cold.
     *
     * @param endpoint the name of the endpoint, not null
     * @param untilNanos the time at which it is warm, in nanoseconds; not in the future if it is warm
     */
    public void onCold(String endpoint, long untilNanos) {
        EndpointState state = context.table().getEndpoint(endpoint);
        long now = context.timers().now();
        if (state != null && context.coldShares().onCold(state, untilNanos, now)) {
            long intervalNanos = context.coldShares().getIntervalNanos(state);
            context.meters().count("cold_endpoints", state.getEndpoint().service());
            context.log()
                    .write(
                            "endpoint.cold",
                            "endpoint",
                            endpoint,
                            "for_ms",
                            (untilNanos - now) / NANOS_PER_MILLI,
                            "interval_ms",
                            intervalNanos == RequestLimit.NEVER ? null : intervalNanos / NANOS_PER_MILLI);
        }
    }

    /**
     * Applies a load report that an endpoint sent with a response.
     *
     * @param endpoint the name of the endpoint, not null
     * @param running the number of calls that the endpoint runs
     * @param waiting the number of calls that the endpoint has queued
     * @param slots the number of calls that the endpoint can run concurrently
     */
    public void onLoadReport(String endpoint, int running, int waiting, int slots) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null) {
            state.onReport(running, waiting, slots, context.timers().now());
            context.table().getPool(state.getEndpoint().service()).onReport(state);
        }
    }

    /**
     * Applies the duration of work that an endpoint stated with a response.
     *
     * @param endpoint the name of the endpoint, not null
     * @param ratio the ratio to the usual duration of its service, plausible
     */
    public void onDurationReport(String endpoint, double ratio) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null) {
            context.table()
                    .getPool(state.getEndpoint().service())
                    .onDuration(state, ratio, context.timers().now());
        }
    }

    /**
     * Applies the request limit that an endpoint named, or its absence, in a response.
     *
     * @param endpoint the name of the endpoint, not null
     * @param perSecond the requests per second that the endpoint accepts from all instances together; 0 if unlimited
     * @param sentNanos the time at which the request of the response was sent, in nanoseconds
     */
    public void onRequestLimit(String endpoint, double perSecond, long sentNanos) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null
                && context.requestShares()
                        .onNamed(state, perSecond, sentNanos, context.timers().now())) {
            long intervalMillis = context.requestShares().getIntervalNanos(state) / NANOS_PER_MILLI;
            context.log()
                    .write(
                            "endpoint.limit_changed",
                            "endpoint",
                            endpoint,
                            "per_second",
                            perSecond,
                            "interval_ms",
                            intervalMillis);
        }
    }

    /**
     * Applies that an endpoint stated in a response that it is brittle, or did not.
     *
     * @param endpoint the name of the endpoint, not null
     * @param maxRejections the requests per second that the endpoint can reject for want of room, at least 0; {@link
     *     Brittleness#NONE} if it is not brittle
     * @param sentNanos the time at which the request of the response was sent, in nanoseconds
     */
    public void onBrittle(String endpoint, double maxRejections, long sentNanos) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null && context.brittleShares().onNamed(state, maxRejections, sentNanos)) {
            context.log()
                    .write(
                            "endpoint.brittle_changed",
                            "endpoint",
                            endpoint,
                            "max_rejections",
                            maxRejections == Brittleness.NONE ? null : maxRejections,
                            "service",
                            state.getEndpoint().service(),
                            "own_calls",
                            state.getInFlight());
        }
    }

    /**
     * Marks an endpoint that announced that it is leaving.
     *
     * @param endpoint the name of the endpoint, not null
     */
    public void onLeaving(String endpoint) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null && !state.isLeaving()) {
            context.log().write("endpoint.leaving", "endpoint", endpoint, "source", "answer");
            state.onLeaving();
        }
    }

    /**
     * Sends no request of any kind to an endpoint for the time for which it asked, with a refusal.
     *
     * @param endpoint the name of the endpoint, not null
     * @param nanos the time from now on, in nanoseconds
     */
    public void onPauseRequested(String endpoint, long nanos) {
        EndpointState state = context.table().getEndpoint(endpoint);
        if (state != null) {
            context.log()
                    .write(
                            "endpoint.paused",
                            "endpoint",
                            endpoint,
                            "millis",
                            nanos / NANOS_PER_MILLI,
                            "service",
                            state.getEndpoint().service());
            state.getRequestLimit().pauseUntil(context.timers().now() + nanos);
        }
    }
}
