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
 * The endpoints known to an instance, indexed by name and by service.
 *
 * <p>An endpoint that the directory no longer lists keeps its state while calls to it are in flight. Confined to the
 * decision loop.
 */
public final class EndpointTable {
    private static final double PRIOR_CALL_NANOS = 20e6;

    private final String zone;
    private final Supplier<ConcurrencyLimit> limitFactory;
    private final Map<String, EndpointState> byName = new HashMap<>();
    private final Map<String, EndpointState> byAddress = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, ServicePool> pools = new HashMap<>();

    /**
     * Creates an empty table.
     *
     * @param zone the instance's availability zone, not null
     * @param limitFactory creates the concurrency limit of a new endpoint, not null
     */
    public EndpointTable(String zone, Supplier<ConcurrencyLimit> limitFactory) {
        this.zone = zone;
        this.limitFactory = limitFactory;
    }

    /**
     * Gets the state of an endpoint.
     *
     * @param name the name of the endpoint, not null
     * @return the state, null if the endpoint is not known
     */
    public @Nullable EndpointState getEndpoint(String name) {
        return byName.get(name);
    }

    /**
     * Finds the endpoint that produced a result.
     *
     * @param handle the handle of the result, which begins with the producer's address and a slash, not null
     * @return the state, null if no known endpoint has the address
     */
    public @Nullable EndpointState findByHandle(String handle) {
        int slash = handle.indexOf('/');
        return slash < 0 ? null : byAddress.get(handle.substring(0, slash));
    }

    /**
     * Gets the states of all endpoints.
     *
     * @return the states, never null, not to be modified
     */
    public Collection<EndpointState> getEndpoints() {
        return byName.values();
    }

    /**
     * Gets the pool of a service, which is empty if no endpoint of the service is known.
     *
     * @param service the name of the service, not null
     * @return the pool, never null
     */
    public ServicePool getPool(String service) {
        return pools.computeIfAbsent(service, ServicePool::new);
    }

    /**
     * Applies the directory's listing.
     *
     * @param statuses the statuses of all endpoints in the directory, not null
     * @return the services whose members changed, never null
     */
    public Set<String> update(List<EndpointStatus> statuses) {
        Set<String> listed = new HashSet<>();
        Set<String> changed = new HashSet<>();
        for (EndpointStatus status : statuses) {
            listed.add(status.endpoint().name());
            addOrUpdate(status, changed);
        }
        byName.values().removeIf(state -> delistIfAbsent(state, listed, changed));
        incarnations.keySet().retainAll(byName.keySet());
        byAddress.clear();
        byName.values()
                .forEach(state -> byAddress.putIfAbsent(
                        state.getEndpoint().host() + ":" + state.getEndpoint().port(), state));
        for (String service : changed) {
            getPool(service).setEndpoints(endpointsOf(service));
        }
        return changed;
    }

    private void addOrUpdate(EndpointStatus status, Set<String> changed) {
        EndpointState state = byName.get(status.endpoint().name());
        String name = status.endpoint().name();
        boolean restarted = status.incarnation() != incarnations.getOrDefault(name, 0L);
        if (state == null || restarted || !state.getEndpoint().equals(status.endpoint())) {
            boolean ownZone = status.endpoint().zone().equals(zone);
            state = new EndpointState(status.endpoint(), ownZone, limitFactory.get(), PRIOR_CALL_NANOS);
            byName.put(name, state);
            incarnations.put(name, status.incarnation());
            changed.add(status.endpoint().service());
        }
        boolean leaving = status.leaving() || state.isLeaving();
        if (leaving != state.isLeaving()) {
            changed.add(status.endpoint().service());
        }
        state.onListed(true, leaving);
    }

    // Marks an endpoint as unlisted if it is absent; returns true if no call to it is in flight, so it can be removed.
    private static boolean delistIfAbsent(EndpointState state, Set<String> listed, Set<String> changed) {
        if (listed.contains(state.getEndpoint().name())) {
            return false;
        }
        state.onListed(false, true);
        changed.add(state.getEndpoint().service());
        return state.getInFlight() == 0;
    }

    private List<EndpointState> endpointsOf(String service) {
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
