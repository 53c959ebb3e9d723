package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The endpoints of one service.
 *
 * <p>The endpoints are also grouped into those of the instance's own availability zone and all others. Confined to
 * the decision loop.
 */
public final class ServicePool {
    private static final int MAX_RING_STEPS = 64;
    /** Part of the usual time to the first event by which a waiting prompt delays the next one. */
    private static final double WAITING_STREAM_SHARE = 0.5;

    private final String service;
    private final ServicePool whole;
    private final ZoneReach zoneReach;
    private final List<EndpointState> endpoints = new ArrayList<>();
    private EndpointState[] ownZoneEndpoints = new EndpointState[0];
    private EndpointState[] otherZoneEndpoints = new EndpointState[0];
    private static final double OTHERS_SMOOTHING = 0.05;
    /** Assumed time to the first event of a stream before the first measurement. */
    private static final double PRIOR_START_NANOS = 150e6;

    private final LatencyEstimate serviceTime = new LatencyEstimate(0);
    private final LatencyEstimate startTime = new LatencyEstimate(PRIOR_START_NANOS);
    private double meanOthersInFlight;
    private double meanWaiting;
    private double meanDurationRatio = 1;
    private boolean durationStated;
    private HashRing ring = HashRing.of(List.of());
    private boolean requestReserved;

    /**
     * Creates an empty pool.
     *
     * @param service the name of the service, not null
     */
    public ServicePool(String service) {
        this(service, new ZoneReach(""));
    }

    /**
     * Creates an empty pool.
     *
     * @param service the name of the service, not null
     * @param zoneReach the availability zones that the instance does not reach, not null
     */
    ServicePool(String service, ZoneReach zoneReach) {
        this.service = service;
        this.whole = this;
        this.zoneReach = zoneReach;
    }

    /**
     * Creates an empty pool for some endpoints of a service.
     *
     * @param whole the pool of all endpoints of the service, which receives the load reports, not null
     */
    ServicePool(ServicePool whole) {
        this.service = whole.service;
        this.whole = whole;
        this.zoneReach = whole.zoneReach;
    }

    /**
     * Gets the name of the service.
     *
     * @return the name, never null
     */
    public String getService() {
        return service;
    }

    /**
     * Gets the estimate of a call's time on an idle endpoint of the pool.
     *
     * @return the estimate, never null
     */
    public LatencyEstimate getServiceTime() {
        return serviceTime;
    }

    /**
     * Gets all endpoints.
     *
     * @return the endpoints, never null, not to be modified
     */
    public List<EndpointState> getEndpoints() {
        return endpoints;
    }

    /**
     * Gets the endpoints of the instance's own availability zone.
     *
     * @return the endpoints, never null, not to be modified
     */
    EndpointState[] getOwnZoneEndpoints() {
        return ownZoneEndpoints;
    }

    /**
     * Gets the endpoints of the other availability zones.
     *
     * @return the endpoints, never null, not to be modified
     */
    EndpointState[] getOtherZoneEndpoints() {
        return otherZoneEndpoints;
    }

    /**
     * Gets the endpoint to which the hash ring assigns a prefix.
     *
     * @param prefixKey the hash of the prefix, 0 for none
     * @return a usable endpoint, null if there is no prefix or none of the next 64 points of the ring has a usable
     *     endpoint
     */
    @Nullable
    EndpointState getPrefixEndpoint(long prefixKey) {
        return prefixKey == 0 ? null : ring.getEndpointFor(prefixKey, MAX_RING_STEPS);
    }

    /**
     * Gets the endpoint to which the hash ring assigns a prefix if another endpoint does not get it.
     *
     * @param prefixKey the hash of the prefix, 0 for none
     * @param first the endpoint that is passed over, not null
     * @return a usable endpoint, null if there is no prefix or no other usable endpoint nearby on the ring
     */
    @Nullable
    EndpointState getNextPrefixEndpoint(long prefixKey, EndpointState first) {
        return prefixKey == 0 ? null : ring.getEndpointFor(prefixKey, MAX_RING_STEPS, first);
    }

    /**
     * Checks whether any endpoint accepts new calls, regardless of its occupancy.
     *
     * @return true if at least one endpoint is usable
     */
    public boolean isServing() {
        for (EndpointState endpoint : endpoints) {
            if (endpoint.isUsable()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Checks whether this instance probably does not reach the availability zone of an endpoint.
     *
     * @param state the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint is to be used only if there are no others
     */
    public boolean isInSuspectedZone(EndpointState state, long nowNanos) {
        return zoneReach.isSuspected(state.getEndpoint().zone(), nowNanos);
    }

    /**
     * Gets the mean number of other instances' calls at an endpoint.
     *
     * @return the smoothed count
     */
    double getMeanOthersInFlight() {
        return whole.meanOthersInFlight;
    }

    /**
     * Updates the means of the service after an endpoint's load report.
     *
     * @param state the endpoint, not null
     */
    public void onReport(EndpointState state) {
        meanOthersInFlight += OTHERS_SMOOTHING * (state.getOthersInFlight() - meanOthersInFlight);
        meanWaiting += OTHERS_SMOOTHING * (state.getLoad().getWaiting() - meanWaiting);
    }

    /**
     * Applies the duration of work that an endpoint stated.
     *
     * @param state the endpoint, not null
     * @param ratio the ratio to the usual duration of the service, plausible
     * @param nowNanos the current time, in nanoseconds
     */
    public void onDuration(EndpointState state, double ratio, long nowNanos) {
        state.getLoad().onDuration(ratio, nowNanos);
        meanDurationRatio = durationStated ? meanDurationRatio + OTHERS_SMOOTHING * (ratio - meanDurationRatio) : ratio;
        durationStated = true;
    }

    /**
     * Records the time to the first event of a stream.
     *
     * @param state the endpoint, not null
     * @param nanos the time since the call was sent, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     */
    public void onStreamStarted(EndpointState state, long nanos, long nowNanos) {
        startTime.add(nanos / state.getLoad().getDurationRatio(meanDurationRatio, nowNanos));
    }

    /**
     * Checks whether endpoints of the service state the duration of work.
     *
     * @return true once one has
     */
    boolean isDurationStated() {
        return whole.durationStated;
    }

    /**
     * Gets the expected duration of work at an endpoint.
     *
     * @param state the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the ratio to the usual duration of the service
     */
    double getDurationRatio(EndpointState state, long nowNanos) {
        return state.getLoad().getDurationRatio(whole.meanDurationRatio, nowNanos);
    }

    /**
     * Gets the expected time until an endpoint has done a new call, or has sent the first event of a stream, from the
     * load and the speed that it stated.
     *
     * @param state the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the time in nanoseconds
     */
    double getStatedNanos(EndpointState state, long nowNanos) {
        double ratio = getDurationRatio(state, nowNanos);
        double waiting = state.getLoad().getWaiting(whole.meanWaiting, state.getInFlight(), nowNanos);
        double running = Math.min(1, state.getLoad().getRunning(nowNanos) / state.getSlots());
        boolean streams = whole.startTime.getCount() >= whole.serviceTime.getCount();
        double waitingShare = streams ? WAITING_STREAM_SHARE : 1.0 / state.getSlots();
        double nanos = (streams ? whole.startTime : whole.serviceTime).getMean();
        return nanos * ratio * (1 + running + waitingShare * waiting);
    }

    /**
     * Reserves the next request to the endpoints of the pool.
     *
     * @return false if it is reserved already
     */
    public boolean reserveRequest() {
        boolean free = !requestReserved;
        requestReserved = true;
        return free;
    }

    /** Ends the reservation of the next request. */
    public void releaseRequest() {
        requestReserved = false;
    }

    /**
     * Replaces the endpoints.
     *
     * @param states the new endpoints, not null
     */
    void setEndpoints(List<EndpointState> states) {
        endpoints.clear();
        endpoints.addAll(states);
        ownZoneEndpoints = states.stream().filter(EndpointState::isOwnZone).toArray(EndpointState[]::new);
        otherZoneEndpoints = states.stream().filter(s -> !s.isOwnZone()).toArray(EndpointState[]::new);
        ring = HashRing.of(states);
    }
}
