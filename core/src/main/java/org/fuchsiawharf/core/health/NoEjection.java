package org.fuchsiawharf.core.health;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;

/**
 * Never ejects an endpoint; a baseline for comparisons.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoEjection implements HealthPolicy {
    @Override
    public boolean onToken(ServicePool pool, EndpointState state, long intervalNanos, long nowNanos) {
        return false;
    }

    @Override
    public boolean onSuccess(ServicePool pool, EndpointState state, boolean streaming, long nowNanos) {
        return false;
    }

    @Override
    public boolean onFailure(ServicePool pool, EndpointState state, CallFailure failure, long nowNanos) {
        return false;
    }

    @Override
    public void allowProbes(ServicePool pool, long nowNanos) {}
}
