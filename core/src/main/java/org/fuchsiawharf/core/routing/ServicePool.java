package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The endpoints of one service.
 *
 * <p>The members are also grouped into those of the own availability zone and all others. Confined to the decision
 * loop.
 */
public final class ServicePool {
    private static final int MAX_RING_STEPS = 64;

    private final String service;
    private final List<EndpointState> members = new ArrayList<>();
    private EndpointState[] ownZoneMembers = new EndpointState[0];
    private EndpointState[] otherZoneMembers = new EndpointState[0];
    private static final double OTHERS_SMOOTHING = 0.05;

    private final LatencyEstimate serviceTime = new LatencyEstimate(0);
    private double meanOthersInFlight;
    private HashRing ring = HashRing.of(List.of());

    /**
     * Creates an empty pool.
     *
     * @param service the name of the service, not null
     */
    public ServicePool(String service) {
        this.service = service;
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
     * Gets all members.
     *
     * @return the members, never null, not to be modified
     */
    public List<EndpointState> getMembers() {
        return members;
    }

    /**
     * Gets the members of the instance's own availability zone.
     *
     * @return the members, never null, not to be modified
     */
    EndpointState[] getOwnZoneMembers() {
        return ownZoneMembers;
    }

    /**
     * Gets the members of the other availability zones.
     *
     * @return the members, never null, not to be modified
     */
    EndpointState[] getOtherZoneMembers() {
        return otherZoneMembers;
    }

    /**
     * Gets the endpoint to which the hash ring assigns a prefix.
     *
     * @param prefixKey the hash of the prefix, 0 for none
     * @return a usable endpoint, null if there is no prefix or no usable endpoint within the visited ring points
     */
    @Nullable
    EndpointState getPrefixEndpoint(long prefixKey) {
        return prefixKey == 0 ? null : ring.getEndpointFor(prefixKey, MAX_RING_STEPS);
    }

    /**
     * Checks whether any member accepts new calls, regardless of its occupancy.
     *
     * @return true if at least one member is usable
     */
    public boolean isServing() {
        for (EndpointState member : members) {
            if (member.isUsable()) {
                return true;
            }
        }
        return false;
    }

    /**
     * Gets the mean number of other instances' calls at a member.
     *
     * @return the smoothed count
     */
    double getMeanOthersInFlight() {
        return meanOthersInFlight;
    }

    /**
     * Updates the mean of the other instances' calls after a member's load report.
     *
     * @param state the member, not null
     */
    public void onReport(EndpointState state) {
        meanOthersInFlight += OTHERS_SMOOTHING * (state.getOthersInFlight() - meanOthersInFlight);
    }

    /**
     * Replaces the members.
     *
     * @param states the new members, not null
     */
    void setMembers(List<EndpointState> states) {
        members.clear();
        members.addAll(states);
        ownZoneMembers = states.stream().filter(EndpointState::isOwnZone).toArray(EndpointState[]::new);
        otherZoneMembers = states.stream().filter(s -> !s.isOwnZone()).toArray(EndpointState[]::new);
        ring = HashRing.of(states);
    }
}
