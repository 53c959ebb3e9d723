package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

import org.fuchsiawharf.core.model.EndpointStatus;

/**
 * The availability zones whose endpoints the operator has taken out of use.
 *
 * <p>Answers load that must leave a zone at once, whatever the state of its endpoints. They are withheld from the listing, so
 * that every part treats them as absent from the directory: requests, pieces, releases, retries and tunnels. Calls in
 * flight go on. Endpoints that return may have become cold meanwhile.
 *
 * <p>Confined to the decision loop.
 */
public final class ZoneEvacuations {
    private List<EndpointStatus> listed = List.of();
    private Set<String> evacuated = Set.of();

    /** Creates a state without evacuated zones. */
    public ZoneEvacuations() {}

    /**
     * Applies a listing of all known endpoints.
     *
     * @param endpoints the endpoints of all zones, not null
     */
    public void onListed(List<EndpointStatus> endpoints) {
        listed = List.copyOf(endpoints);
    }

    /**
     * Replaces the evacuated zones.
     *
     * @param zones the names of the zones, not null
     * @return the zones that were evacuated until now and no longer are, never null
     */
    public Set<String> replace(Set<String> zones) {
        Set<String> ended = new TreeSet<>(evacuated);
        ended.removeAll(zones);
        evacuated = Set.copyOf(zones);
        return ended;
    }

    /**
     * Checks whether a zone is evacuated.
     *
     * @param zone the name of the zone, not null
     * @return true if its endpoints are withheld
     */
    public boolean isEvacuated(String zone) {
        return evacuated.contains(zone);
    }

    /**
     * Gets the listed endpoints of the zones that are not evacuated.
     *
     * @return the endpoints that may receive requests, never null
     */
    public List<EndpointStatus> getUsable() {
        return listed.stream()
                .filter(status -> !isEvacuated(status.endpoint().zone()))
                .toList();
    }

    /**
     * Gets the evacuated zones that no listed endpoint belongs to.
     *
     * @return the names in order, never null
     */
    public List<String> getUnknownZones() {
        Set<String> unknown = new TreeSet<>(evacuated);
        listed.forEach(status -> unknown.remove(status.endpoint().zone()));
        return new ArrayList<>(unknown);
    }

    /**
     * Gets the number of endpoints that are withheld.
     *
     * @return the count, at least 0
     */
    public int getWithheldCount() {
        return listed.size() - getUsable().size();
    }
}
