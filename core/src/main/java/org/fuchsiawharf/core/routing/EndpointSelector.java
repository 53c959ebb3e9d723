package org.fuchsiawharf.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * Selects the endpoint of a call.
 *
 * <p>Confined to the decision loop.
 */
public interface EndpointSelector {
    /**
     * Selects an available endpoint.
     *
     * @param pool the endpoints of the service, not null
     * @param prefixKey the hash of the prompt prefix, 0 for none
     * @param avoid the endpoint to use only if no other is available, null for none
     * @param nowNanos the current time, in nanoseconds
     * @return the endpoint, null if none is available
     */
    @Nullable
    EndpointState select(ServicePool pool, long prefixKey, @Nullable EndpointState avoid, long nowNanos);

    /**
     * Selects an available endpoint for a call whose inputs lie in an availability zone.
     *
     * @param pool the endpoints of the service, not null
     * @param prefixKey the hash of the prompt prefix, 0 for none
     * @param avoid the endpoint to use only if no other is available, null for none
     * @param inputs where the inputs lie, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the endpoint, null if none is available
     */
    default @Nullable EndpointState select(
            ServicePool pool, long prefixKey, @Nullable EndpointState avoid, InputPlace inputs, long nowNanos) {
        return select(pool, prefixKey, avoid, nowNanos);
    }

    /**
     * Where the inputs of a call lie.
     *
     * @param zone the availability zone, not null
     * @param transferCostNanos the wait that is preferred to a transfer to another zone, in nanoseconds
     */
    record InputPlace(String zone, double transferCostNanos) {}
}
