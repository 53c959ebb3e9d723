package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * The endpoints of one service.
 *
 * <p>The own availability zone's endpoints stand first. Confined to the decision loop.
 */
public final class ServicePool {
    private static final int RING_STEPS = 64;

    private final String service;
    private final List<EndpointState> members = new ArrayList<>();
    private EndpointState[] own = new EndpointState[0];
    private EndpointState[] other = new EndpointState[0];
    private static final double OTHERS_WEIGHT = 0.05;

    private final LatencyEstimate usual = new LatencyEstimate(0);
    private double usualOthers;
    private HashRing ring = HashRing.of(List.of());

    /**
     * Creates an empty pool.
     *
     * @param service the service's name, not null
     */
    public ServicePool(String service) {
        this.service = service;
    }

    /**
     * Gets the service's name.
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
    public LatencyEstimate getUsual() {
        return usual;
    }

    /**
     * Gets every member.
     *
     * @return the members, never null, not to be changed
     */
    public List<EndpointState> getMembers() {
        return members;
    }

    /**
     * Gets the members of the instance's own availability zone.
     *
     * @return the members, never null, not to be changed
     */
    EndpointState[] getOwn() {
        return own;
    }

    /**
     * Gets the members of the other availability zones.
     *
     * @return the members, never null, not to be changed
     */
    EndpointState[] getOther() {
        return other;
    }

    /**
     * Gets the endpoint that should hold a prefix.
     *
     * @param prefixKey the prefix's hash, 0 for none
     * @return a usable endpoint, null if there is no prefix or no usable endpoint near its place
     */
    @Nullable
    EndpointState getOwner(long prefixKey) {
        return prefixKey == 0 ? null : ring.getOwner(prefixKey, RING_STEPS);
    }

    /**
     * Tells whether any member takes new calls, with room or without.
     *
     * @return true if one does
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
     * Gets the usual number of other instances' calls at a member.
     *
     * @return the smoothed count
     */
    double getUsualOthers() {
        return usualOthers;
    }

    /**
     * Learns from a member's load report.
     *
     * @param state the member, not null
     */
    public void onReport(EndpointState state) {
        usualOthers += OTHERS_WEIGHT * (state.getOthers() - usualOthers);
    }

    /**
     * Replaces the members.
     *
     * @param states the new members, not null
     */
    void setMembers(List<EndpointState> states) {
        members.clear();
        members.addAll(states);
        own = states.stream().filter(EndpointState::isOwnZone).toArray(EndpointState[]::new);
        other = states.stream().filter(s -> !s.isOwnZone()).toArray(EndpointState[]::new);
        ring = HashRing.of(states);
    }
}
