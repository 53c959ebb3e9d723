package org.fuchsiawharf.core.pieces;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.util.Arguments;

/**
 * The pool of a stage service: the queue in front of its endpoints in one availability zone, or in all zones.
 *
 * <p>A key says which endpoints belong to the pool, so that instances that divide a service differently still agree on
 * the endpoints of each pool.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the stage service
 * @param zone the availability zone of the endpoints, empty for the endpoints of all zones
 */
public record PoolKey(String service, String zone) {
    /** Checks the names. */
    public PoolKey {
        Arguments.notNull(service, "service");
        Arguments.notNull(zone, "zone");
    }

    /**
     * Creates the key of the pool that has the endpoints of all availability zones.
     *
     * @param service the name of the stage service, not null
     * @return the key, never null
     */
    public static PoolKey ofAllZones(String service) {
        return new PoolKey(service, "");
    }

    /**
     * Checks whether the pool has the endpoints of all availability zones.
     *
     * @return true if the key names no zone
     */
    public boolean coversAllZones() {
        return zone.isEmpty();
    }

    /**
     * Checks whether an endpoint belongs to the pool.
     *
     * @param endpoint the endpoint, not null
     * @return true if the service is that of the pool, and so is the zone unless the pool covers all zones
     */
    public boolean covers(Endpoint endpoint) {
        return endpoint.service().equals(service)
                && (coversAllZones() || endpoint.zone().equals(zone));
    }

    @Override
    public String toString() {
        return coversAllZones() ? service : service + " in " + zone;
    }
}
