package org.fuchsiawharf.core.relay;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.pieces.PieceTerms;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.routing.EndpointSelector;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;
import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoints of one request.
 *
 * <p>Confined to the decision loop.
 */
final class EndpointChoice {
    /** Retry delay while no endpoint can be used. */
    static final long NO_ENDPOINT_RETRY_MILLIS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final String service;
    private final long prefixKey;
    private @Nullable String version;
    private @Nullable ServicePool reservedPool;
    private @Nullable ServicePool reservedRoom;
    private boolean waitsForRoom;
    private EndpointSelector.@Nullable InputPlace inputs;

    EndpointChoice(RelayContext context, String service, long prefixKey) {
        this.context = context;
        this.service = service;
        this.prefixKey = prefixKey;
    }

    /** Chooses only among the endpoints of a software version from now on. */
    void restrictTo(String newVersion) {
        if (!newVersion.equals(version)) {
            release();
            version = newVersion;
        }
    }

    /** Chooses only among the endpoints of the version that began the stream; its next attempt waits for room. */
    void onStreamStarted(String startedVersion) {
        restrictTo(startedVersion);
        waitsForRoom = true;
    }

    /** Prefers the availability zone that holds most of the results of the stages from now on. */
    void onInputsReady(List<String> handles, Route route) {
        Map<String, Integer> countByZone = new HashMap<>();
        handles.forEach(handle -> countByZone.merge(findZone(handle), 1, Integer::sum));
        long resultBytes =
                route.stages().stream().mapToLong(PieceStage::resultBytes).max().orElse(0);
        long costNanos = PieceTerms.crossZoneWaitNanos(handles.size() * resultBytes);
        inputs = countByZone.entrySet().stream()
                .filter(entry -> !entry.getKey().isEmpty())
                .max(Map.Entry.comparingByValue())
                .map(entry -> new EndpointSelector.InputPlace(entry.getKey(), costNanos))
                .orElse(null);
    }

    /** Finds the availability zone of a result, empty if its producer is not known. */
    String findZone(String handle) {
        EndpointState producer = context.table().findByHandle(handle);
        return producer == null ? "" : producer.getEndpoint().zone();
    }

    /** Selects an endpoint to which a request may be sent now; null if there is none. */
    @Nullable
    EndpointState select(@Nullable EndpointState failed) {
        long now = context.timers().now();
        ServicePool pool = getPool();
        EndpointState avoided = failed != null && pool.getEndpoints().contains(failed) ? failed : null;
        context.health().allowProbes(pool, now);
        EndpointSelector.InputPlace place = inputs;
        EndpointState selected = place == null
                ? context.selector().select(pool, prefixKey, avoided, now)
                : context.selector().select(pool, prefixKey, avoided, place, now);
        if (selected != null) {
            return selected;
        }
        // If no endpoint is healthy, any listed endpoint is used: an attempt may succeed where a refusal cannot.
        return pool.getEndpoints().stream()
                .filter(endpoint -> endpoint != avoided && endpoint.acceptsRequest(now) && endpoint.hasRoom())
                .min(Comparator.comparing(EndpointState::isEjected).thenComparingInt(EndpointState::getInFlight))
                .orElse(avoided != null && avoided.acceptsRequest(now) && avoided.hasRoom() ? avoided : null);
    }

    /**
     * Selects the endpoint of a hedge.
     *
     * @param first the endpoint of the call that is hedged
     * @return another endpoint, null if the selector has none
     */
    @Nullable
    EndpointState selectOther(EndpointState first) {
        EndpointState selected = context.selector()
                .select(getPool(), prefixKey, first, context.timers().now());
        return selected == first ? null : selected;
    }

    /** Checks whether each usable endpoint runs or queues as many calls as it has slots, by its last report and own calls. */
    boolean isServiceFull() {
        long now = context.timers().now();
        return getPool().getEndpoints().stream()
                .filter(EndpointState::isUsable)
                .allMatch(endpoint -> isFull(endpoint, now));
    }

    static boolean isFull(EndpointState endpoint, long nowNanos) {
        return Math.max(endpoint.getLoad().getRecentCalls(nowNanos), endpoint.getInFlight()) >= endpoint.getSlots();
    }

    /**
     * Gets the time from which the request limit of an endpoint permits a request, the current time if the request waits
     * for room at a brittle endpoint; the maximum if there is neither.
     */
    long getNextSendNanos() {
        if (waitsForRoom && hasFullEndpoint()) {
            return context.timers().now();
        }
        return getPool().getEndpoints().stream()
                .filter(endpoint -> !endpoint.isLeaving() && (isLimited(endpoint) || isCold(endpoint)))
                .mapToLong(endpoint -> endpoint.getRequestLimit().getNextSendNanos())
                .min()
                .orElse(Long.MAX_VALUE);
    }

    /** Gets the retry delay of a request for which there is no endpoint, at least until one that paused accepts again; 0 if the
     * version to which the request is restricted has left. */
    long getRetryMillis() {
        long now = context.timers().now();
        boolean versionLeft =
                version != null && getPool().getEndpoints().stream().allMatch(EndpointState::isLeaving);
        if (versionLeft) {
            return 0;
        }
        long pauseNanos = getPool().getEndpoints().stream()
                .filter(endpoint -> !endpoint.isLeaving())
                .mapToLong(endpoint -> Math.max(now, endpoint.getRequestLimit().getPausedUntilNanos()) - now)
                .min()
                .orElse(0);
        // Random spread prevents callers that found a brittle service full together from retrying at the same time.
        long spreadMillis = hasFullEndpoint() ? context.random().nextLong(NO_ENDPOINT_RETRY_MILLIS) : 0;
        return Math.max(NO_ENDPOINT_RETRY_MILLIS + spreadMillis, pauseNanos / NANOS_PER_MILLI);
    }

    private boolean hasFullEndpoint() {
        return getPool().getEndpoints().stream().anyMatch(endpoint -> !endpoint.isLeaving() && !endpoint.hasRoom());
    }

    /**
     * Reserves the next request to a service whose endpoints are all limited, and room at brittle endpoints, until {@link
     * #release}; a request with stages is sent only after them, and waits for room then. Returns false if other requests
     * have reserved it.
     */
    boolean reserve() {
        ServicePool pool = getPool();
        boolean allLimited = pool.getEndpoints().stream().allMatch(e -> e.isLeaving() || isLimited(e));
        reservedPool = allLimited && pool.reserveRequest() ? pool : null;
        boolean reserved =
                (reservedPool != null || !allLimited) && context.brittleShares().tryReserve(pool);
        reservedRoom = reserved ? pool : null;
        waitsForRoom = reserved;
        return reserved;
    }

    /** Releases the reservation, if any. */
    void release() {
        ServicePool room = reservedRoom;
        if (room != null) {
            reservedRoom = null;
            context.brittleShares().release(room);
        }
        ServicePool pool = reservedPool;
        if (pool != null) {
            reservedPool = null;
            pool.releaseRequest();
        }
    }

    // The pool of a version is another one after the version was absent from the listing.
    private ServicePool getPool() {
        String onlyVersion = version;
        return onlyVersion == null
                ? context.table().getPool(service)
                : context.table().getPool(service, onlyVersion);
    }

    private static boolean isLimited(EndpointState endpoint) {
        return endpoint.getRequestLimit().getPerSecond() > 0;
    }

    private boolean isCold(EndpointState endpoint) {
        return endpoint.getRequestLimit().isCold(context.timers().now());
    }
}
