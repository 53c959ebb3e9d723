package org.fuchsiawharf.core.health;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;

/**
 * Decides from what calls experience whether an endpoint is ejected, and when it returns.
 *
 * <p>Confined to the decision loop.
 */
public interface HealthPolicy {
    /**
     * Learns from a token of a stream.
     *
     * @param pool the endpoint's pool, not null
     * @param state the endpoint, not null
     * @param gapNanos the time since the token before
     * @param nowNanos the time
     * @return true if the endpoint was ejected by this
     */
    boolean onToken(ServicePool pool, EndpointState state, long gapNanos, long nowNanos);

    /**
     * Learns from a completed call.
     *
     * @param pool the endpoint's pool, not null
     * @param state the endpoint, not null
     * @param streaming whether the call was a stream, whose tokens were judged already
     * @param nowNanos the time
     * @return true if the endpoint was ejected by this
     */
    boolean onSuccess(ServicePool pool, EndpointState state, boolean streaming, long nowNanos);

    /**
     * Learns from a failed call.
     *
     * @param pool the endpoint's pool, not null
     * @param state the endpoint, not null
     * @param failure why it failed, not null
     * @param nowNanos the time
     * @return true if the endpoint was ejected by this
     */
    boolean onFailure(ServicePool pool, EndpointState state, CallFailure failure, long nowNanos);

    /**
     * Lets ejected endpoints whose time has come be probed.
     *
     * @param pool the pool, not null
     * @param nowNanos the time
     */
    void allowProbes(ServicePool pool, long nowNanos);
}
