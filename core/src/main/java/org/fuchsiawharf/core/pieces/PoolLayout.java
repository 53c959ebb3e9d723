package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeSet;

import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.jspecify.annotations.Nullable;

/**
 * Divides the stage services into pools, so that the owner of each can carry its pieces.
 *
 * <p>Answers the load of a service that grows with the fleet: the owner of a pool receives, sends and queues all of
 * its pieces. A service is one pool while as many instances as there are stage services each bear all pieces that its
 * endpoints can process, since one queue fills batches best and the roles spread; otherwise it has a pool in each
 * availability zone, which is not divided further. The layout depends on the configuration, the listed endpoints and
 * the members alone, so that instances that know the same compute the same one.
 *
 * <p>Confined to the decision loop.
 */
public final class PoolLayout {
    /** Pieces per second that an owner processes for each unit of its capacity. */
    private static final double PIECES_PER_SECOND_PER_CAPACITY = 4_500;
    /** Capacity that an owner needs for the messages to and from each other instance. */
    private static final double CAPACITY_PER_MEMBER = 0.003;
    /** Minimum mean number of endpoints in a zone, so that the calls to a pool overlap. */
    private static final int MIN_ENDPOINTS_PER_ZONE = 2;

    private static final double MILLIS_PER_SECOND = 1_000;

    private final EndpointTable table;
    private final MemberTable members;
    private final Map<String, PieceService> specs = new HashMap<>();
    private final Map<String, List<PoolKey>> poolsByService = new HashMap<>();
    private final Map<PoolKey, Double> neededCapacityByPool = new HashMap<>();

    /**
     * Creates a layout without services.
     *
     * @param table the known endpoints, not null
     * @param members the live instances, not null
     */
    PoolLayout(EndpointTable table, MemberTable members) {
        this.table = table;
        this.members = members;
    }

    /** Replaces the services; those that process no pieces are ignored. */
    void setServices(Collection<ServiceSpec> services) {
        specs.clear();
        services.forEach(spec -> {
            if (spec.pieces() != null) {
                specs.put(spec.name(), spec.pieces());
            }
        });
        invalidate();
    }

    /** Computes the pools again when they are next needed; called when the listed endpoints or members have changed. */
    void invalidate() {
        poolsByService.clear();
        neededCapacityByPool.clear();
    }

    /** Gets the pools of all stage services. */
    List<PoolKey> getPools() {
        return specs.keySet().stream()
                .flatMap(service -> getPools(service).stream())
                .toList();
    }

    /** Gets the capacity of each endpoint of a service, null if the service processes no pieces. */
    @Nullable
    PieceService getSpec(String service) {
        return specs.get(service);
    }

    /** Gets the pools of a stage service, ordered by zone; at least one. */
    List<PoolKey> getPools(String service) {
        return poolsByService.computeIfAbsent(service, this::divide);
    }

    /**
     * Finds the pool to which an endpoint belongs.
     *
     * @param endpoint the endpoint, not null
     * @return the pool, null if the service of the endpoint processes no pieces
     */
    public @Nullable PoolKey findPool(Endpoint endpoint) {
        if (!specs.containsKey(endpoint.service())) {
            return null;
        }
        return getPools(endpoint.service()).stream()
                .filter(pool -> pool.covers(endpoint))
                .findFirst()
                .orElse(null);
    }

    /**
     * Gets the capacity of an instance that bears a pool: all pieces that its endpoints can process, from all instances.
     *
     * @param pool the pool, not null
     * @return the capacity, 0 if the service processes no pieces
     */
    double getNeededCapacity(PoolKey pool) {
        return neededCapacityByPool.computeIfAbsent(pool, this::computeNeededCapacity);
    }

    private double computeNeededCapacity(PoolKey pool) {
        PieceService spec = specs.get(pool.service());
        if (spec == null) {
            return 0;
        }
        long endpoints = table.getPool(pool.service()).getEndpoints().stream()
                .filter(state -> pool.covers(state.getEndpoint()))
                .count();
        double piecesPerSecond = endpoints * spec.maxPiecesPerMilli() * MILLIS_PER_SECOND;
        return piecesPerSecond / PIECES_PER_SECOND_PER_CAPACITY + members.size() * CAPACITY_PER_MEMBER;
    }

    private List<PoolKey> divide(String service) {
        PoolKey undivided = PoolKey.ofAllZones(service);
        List<EndpointState> endpoints = table.getPool(service).getEndpoints();
        TreeSet<String> zones = new TreeSet<>();
        endpoints.forEach(state -> zones.add(state.getEndpoint().zone()));
        boolean divisible =
                zones.size() > 1 && !zones.contains("") && endpoints.size() >= MIN_ENDPOINTS_PER_ZONE * zones.size();
        return divisible && members.countByCapacity(getNeededCapacity(undivided)) < specs.size()
                ? zones.stream().map(zone -> new PoolKey(service, zone)).toList()
                : List.of(undivided);
    }
}
