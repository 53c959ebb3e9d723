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

    private final String service;
    private final ServicePool whole;
    private final List<EndpointState> endpoints = new ArrayList<>();
    private EndpointState[] ownZoneEndpoints = new EndpointState[0];
    private EndpointState[] otherZoneEndpoints = new EndpointState[0];
    private static final double OTHERS_SMOOTHING = 0.05;

    private final LatencyEstimate serviceTime = new LatencyEstimate(0);
    private double meanOthersInFlight;
    private HashRing ring = HashRing.of(List.of());
    private boolean requestReserved;

    /**
     * Creates an empty pool.
     *
     * @param service the name of the service, not null
     */
    public ServicePool(String service) {
        this.service = service;
        this.whole = this;
    }

    /**
     * Creates an empty pool for some endpoints of a service.
     *
     * @param whole the pool of all endpoints of the service, which receives the load reports, not null
     */
    ServicePool(ServicePool whole) {
        this.service = whole.service;
        this.whole = whole;
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
     * Gets the mean number of other instances' calls at an endpoint.
     *
     * @return the smoothed count
     */
    double getMeanOthersInFlight() {
        return whole.meanOthersInFlight;
    }

    /**
     * Updates the mean of the other instances' calls after an endpoint's load report.
     *
     * @param state the endpoint, not null
     */
    public void onReport(EndpointState state) {
        meanOthersInFlight += OTHERS_SMOOTHING * (state.getOthersInFlight() - meanOthersInFlight);
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
