package org.fuchsiawharf.core.routing;

import org.jspecify.annotations.Nullable;

/**
 * Chooses the endpoint of a call.
 *
 * <p>Confined to the decision loop.
 */
public interface EndpointSelector {
    /**
     * Chooses an available endpoint.
     *
     * @param pool the service's endpoints, not null
     * @param prefixKey the hash of the prompt prefix, 0 for none
     * @param avoid an endpoint to use only if no other is available, null for none
     * @param nowNanos the time
     * @return the endpoint, null if none is available
     */
    @Nullable
    EndpointState select(ServicePool pool, long prefixKey, @Nullable EndpointState avoid, long nowNanos);
}
