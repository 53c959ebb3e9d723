package org.fuchsiawharf.core.health;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;

/**
 * Decides from the outcomes of calls when an endpoint is ejected and when it is readmitted.
 *
 * <p>Confined to the decision loop.
 */
public interface HealthPolicy {
    /**
     * Records the interval between two tokens of a stream.
     *
     * @param pool the endpoint's pool, not null
     * @param state the endpoint, not null
     * @param intervalNanos the time since the previous token, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint was ejected, or ejected again after a probe, so that its calls should be migrated
     */
    boolean onToken(ServicePool pool, EndpointState state, long intervalNanos, long nowNanos);

    /**
     * Records a call that completed, or that was cancelled after more than the endpoint's mean time.
     *
     * @param pool the endpoint's pool, not null
     * @param state the endpoint, not null
     * @param streaming whether the call was a stream, whose tokens were already recorded
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint was ejected, or ejected again after a probe, so that its calls should be migrated
     */
    boolean onSuccess(ServicePool pool, EndpointState state, boolean streaming, long nowNanos);

    /**
     * Records a failed call.
     *
     * @param pool the endpoint's pool, not null
     * @param state the endpoint, not null
     * @param failure the cause of the failure, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint was ejected, so that its calls should be migrated; false if it already was ejected
     */
    boolean onFailure(ServicePool pool, EndpointState state, CallFailure failure, long nowNanos);

    /**
     * Allows a probe of each endpoint whose ejection time is over.
     *
     * @param pool the pool, not null
     * @param nowNanos the current time, in nanoseconds
     */
    void allowProbes(ServicePool pool, long nowNanos);
}
