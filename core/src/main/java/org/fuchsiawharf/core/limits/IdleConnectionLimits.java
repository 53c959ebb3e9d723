package org.fuchsiawharf.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.fuchsiawharf.core.route.ServiceSpec;

/**
 * Divides the connections that an endpoint accepts among the instances.
 *
 * <p>An endpoint counts the connections of all instances together and resets those beyond its maximum, with the
 * request that was sent on them. The idle connections of all instances together therefore take at most half of the
 * maximum; the other half is for requests in flight. In a fleet that is large for an endpoint, no connection is kept.
 *
 * <p>Confined to the decision loop.
 */
public final class IdleConnectionLimits {
    /** Share of an endpoint's maximum that idle connections may take. */
    private static final double IDLE_SHARE = 0.5;

    private final IntSupplier instanceCount;
    private final Map<String, Integer> maxConnectionsByService = new HashMap<>();

    /**
     * Creates limits without services.
     *
     * @param instanceCount the supplier of the number of live instances, including this one, not null
     */
    public IdleConnectionLimits(IntSupplier instanceCount) {
        this.instanceCount = instanceCount;
    }

    /**
     * Replaces the services.
     *
     * @param services all services of the configuration, not null
     */
    public void setServices(Collection<ServiceSpec> services) {
        maxConnectionsByService.clear();
        services.forEach(service -> maxConnectionsByService.put(service.name(), service.maxConnections()));
    }

    /**
     * Gets the number of idle connections that this instance may keep to each endpoint of a service.
     *
     * @param service the name of the service, not null
     * @return the limit, 0 if no connection may be kept or the service is unknown
     */
    public int getLimit(String service) {
        int maxConnections = maxConnectionsByService.getOrDefault(service, 0);
        return (int) (maxConnections * IDLE_SHARE / Math.max(1, instanceCount.getAsInt()));
    }
}
