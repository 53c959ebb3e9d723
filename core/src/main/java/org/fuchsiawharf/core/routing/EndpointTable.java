package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;

import org.fuchsiawharf.core.limits.ConcurrencyLimit;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.jspecify.annotations.Nullable;

/**
 * Every endpoint known to an instance, by name and by service.
 *
 * <p>An endpoint that the directory no longer lists keeps its state while calls to it are open. Confined to the
 * decision loop.
 */
public final class EndpointTable {
    private static final double PRIOR_NANOS = 20e6;

    private final String zone;
    private final Supplier<ConcurrencyLimit> limits;
    private final Map<String, EndpointState> byName = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, ServicePool> pools = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param zone the instance's availability zone, not null
     * @param limits makes the limit of a new endpoint, not null
     */
    public EndpointTable(String zone, Supplier<ConcurrencyLimit> limits) {
        this.zone = zone;
        this.limits = limits;
    }

    /**
     * Gets an endpoint's state.
     *
     * @param name the endpoint's name, not null
     * @return the state, null if the endpoint is not known
     */
    public @Nullable EndpointState getEndpoint(String name) {
        return byName.get(name);
    }

    /**
     * Finds the endpoint that made a result.
     *
     * @param handle the result's name, which begins with its maker's address and a slash, not null
     * @return the state, null if no known endpoint has the address
     */
    public @Nullable EndpointState findByHandle(String handle) {
        for (EndpointState state : byName.values()) {
            String address =
                    state.getEndpoint().host() + ":" + state.getEndpoint().port() + "/";
            if (handle.startsWith(address)) {
                return state;
            }
        }
        return null;
    }

    /**
     * Gets every endpoint's state.
     *
     * @return the states, never null, not to be changed
     */
    public Collection<EndpointState> getEndpoints() {
        return byName.values();
    }

    /**
     * Gets a service's pool, empty if no endpoint of it is known.
     *
     * @param service the service's name, not null
     * @return the pool, never null
     */
    public ServicePool getPool(String service) {
        return pools.computeIfAbsent(service, ServicePool::new);
    }

    /**
     * Takes in the directory's list.
     *
     * @param statuses every endpoint that the directory knows, not null
     * @return the services whose members changed, never null
     */
    public Set<String> update(List<EndpointStatus> statuses) {
        Set<String> listed = new HashSet<>();
        Set<String> changed = new HashSet<>();
        for (EndpointStatus status : statuses) {
            listed.add(status.endpoint().name());
            add(status, changed);
        }
        byName.values().removeIf(state -> isGone(state, listed, changed));
        incarnations.keySet().retainAll(byName.keySet());
        for (String service : changed) {
            getPool(service).setMembers(membersOf(service));
        }
        return changed;
    }

    private void add(EndpointStatus status, Set<String> changed) {
        EndpointState known = byName.get(status.endpoint().name());
        String name = status.endpoint().name();
        boolean restarted = status.incarnation() != incarnations.getOrDefault(name, 0L);
        if (known == null || restarted || !known.getEndpoint().equals(status.endpoint())) {
            boolean ownZone = status.endpoint().zone().equals(zone);
            known = new EndpointState(status.endpoint(), ownZone, limits.get(), PRIOR_NANOS);
            byName.put(name, known);
            incarnations.put(name, status.incarnation());
            changed.add(status.endpoint().service());
        }
        boolean leavingNow = status.leaving() || known.isLeaving();
        if (leavingNow != known.isLeaving()) {
            changed.add(status.endpoint().service());
        }
        known.onListed(true, leavingNow);
    }

    private static boolean isGone(EndpointState state, Set<String> listed, Set<String> changed) {
        if (listed.contains(state.getEndpoint().name())) {
            return false;
        }
        state.onListed(false, true);
        changed.add(state.getEndpoint().service());
        return state.getInFlight() == 0;
    }

    private List<EndpointState> membersOf(String service) {
        List<EndpointState> members = new ArrayList<>();
        for (EndpointState state : byName.values()) {
            if (state.getEndpoint().service().equals(service)) {
                members.add(state);
            }
        }
        members.sort((a, b) -> a.getEndpoint().name().compareTo(b.getEndpoint().name()));
        return members;
    }
}
