package org.fuchsiawharf.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;

import org.fuchsiawharf.core.limits.ConcurrencyLimit;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.jspecify.annotations.Nullable;

/**
 * The endpoints known to an instance, indexed by name and by service.
 *
 * <p>An endpoint that the directory no longer lists keeps its state while calls to it are in flight. What an incarnation
 * of an endpoint has stated about itself holds again if the directory lists it again. Confined to the decision loop.
 */
public final class EndpointTable {
    private static final double PRIOR_CALL_NANOS = 20e6;
    /** Number of absent endpoints whose notices are kept: twice the largest number of endpoints. */
    private static final int MAX_ABSENT_NOTICES = 4_096;

    private final String zone;
    private final ZoneReach zoneReach;
    private final Supplier<ConcurrencyLimit> limitFactory;
    private final Map<String, EndpointState> byName = new HashMap<>();
    private final Map<String, EndpointState> byAddress = new HashMap<>();
    private final Map<String, Long> incarnations = new HashMap<>();
    private final Map<String, ServicePool> pools = new HashMap<>();
    private final Map<String, Map<String, ServicePool>> poolsByVersion = new HashMap<>();
    private final Map<String, AbsentNotices> absentNotices = new LinkedHashMap<>();
    private Consumer<String> onReplaced = process -> {};

    private record AbsentNotices(long incarnation, EndpointNotices notices) {}

    /**
     * Creates an empty table.
     *
     * @param zone the instance's availability zone, not null
     * @param limitFactory creates the concurrency limit of a new endpoint, not null
     */
    public EndpointTable(String zone, Supplier<ConcurrencyLimit> limitFactory) {
        this.zone = zone;
        this.zoneReach = new ZoneReach(zone);
        this.limitFactory = limitFactory;
    }

    /**
     * Sets the listener for endpoints that have restarted under their names.
     *
     * @param listener receives the previous incarnation, see {@link EndpointState#getProcess}, not null
     */
    public void setReplacementListener(Consumer<String> listener) {
        onReplaced = listener;
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
     * Gets the availability zones that this instance probably does not reach.
     *
     * @return the zones, never null
     */
    public ZoneReach getZoneReach() {
        return zoneReach;
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
        return pools.computeIfAbsent(service, s -> new ServicePool(s, zoneReach));
    }

    /**
     * Gets the pool of the endpoints of a service that run one version of its software.
     *
     * @param service the name of the service, not null
     * @param version the version, not null
     * @return the pool, empty if no endpoint of the version is known, never null
     */
    public ServicePool getPool(String service, String version) {
        ServicePool pool = poolsByVersion.getOrDefault(service, Map.of()).get(version);
        return pool == null ? new ServicePool(service) : pool;
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
        byAddress.clear();
        byName.values()
                .forEach(state -> byAddress.putIfAbsent(
                        state.getEndpoint().host() + ":" + state.getEndpoint().port(), state));
        for (String service : changed) {
            setEndpoints(service, endpointsOf(service));
        }
        return changed;
    }

    private void setEndpoints(String service, List<EndpointState> endpoints) {
        ServicePool pool = getPool(service);
        pool.setEndpoints(endpoints);
        Map<String, List<EndpointState>> byVersion =
                endpoints.stream().collect(Collectors.groupingBy(EndpointState::getVersion));
        Map<String, ServicePool> versionPools = poolsByVersion.computeIfAbsent(service, s -> new HashMap<>());
        versionPools.forEach(
                (version, versionPool) -> versionPool.setEndpoints(byVersion.getOrDefault(version, List.of())));
        versionPools.keySet().retainAll(byVersion.keySet());
        byVersion.forEach((version, states) -> versionPools
                .computeIfAbsent(version, v -> new ServicePool(pool))
                .setEndpoints(states));
    }

    private void addOrUpdate(EndpointStatus status, Set<String> changed) {
        String name = status.endpoint().name();
        EndpointState state = byName.get(name);
        boolean restarted = status.incarnation() != incarnations.getOrDefault(name, status.incarnation());
        if (state == null
                || restarted
                || !state.getEndpoint().equals(status.endpoint())
                || !state.getVersion().equals(status.version())) {
            boolean ownZone = status.endpoint().zone().equals(zone);
            EndpointNotices notices = takeNotices(status, restarted ? null : state);
            if (restarted && state != null) {
                onReplaced.accept(state.getProcess());
            }
            state = new EndpointState(status, ownZone, limitFactory.get(), PRIOR_CALL_NANOS, notices);
            byName.put(name, state);
            incarnations.put(name, status.incarnation());
            changed.add(status.endpoint().service());
        }
        boolean wasLeaving = state.isLeaving();
        state.onListed(true);
        if (status.leaving()) {
            state.onLeaving();
        }
        if (state.isLeaving() != wasLeaving) {
            changed.add(status.endpoint().service());
        }
    }

    // Gets the notices of the same incarnation under its previous address or before it was absent.
    private EndpointNotices takeNotices(EndpointStatus status, @Nullable EndpointState sameIncarnation) {
        AbsentNotices absent = absentNotices.remove(status.endpoint().name());
        if (sameIncarnation != null) {
            return sameIncarnation.getNotices();
        }
        boolean stillValid = absent != null && absent.incarnation() == status.incarnation();
        return stillValid ? absent.notices() : new EndpointNotices();
    }

    // Marks an endpoint as unlisted if it is absent; returns true if no call to it is in flight, so it can be removed.
    private boolean delistIfAbsent(EndpointState state, Set<String> listed, Set<String> changed) {
        String name = state.getEndpoint().name();
        if (listed.contains(name)) {
            return false;
        }
        state.onListed(false);
        changed.add(state.getEndpoint().service());
        if (state.getInFlight() > 0) {
            return false;
        }
        Long incarnation = incarnations.remove(name);
        if (incarnation != null && !state.getNotices().isEmpty()) {
            keepNotices(name, new AbsentNotices(incarnation, state.getNotices()));
        }
        return true;
    }

    private void keepNotices(String name, AbsentNotices notices) {
        absentNotices.put(name, notices);
        if (absentNotices.size() > MAX_ABSENT_NOTICES) {
            absentNotices.remove(absentNotices.keySet().iterator().next());
        }
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
