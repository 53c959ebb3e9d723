package org.fuchsiawharf.standin;

/**
 * Model of the behaviour and the timing of an endpoint.
 *
 * <p>Implementations are thread-safe.
 */
interface EndpointModel {
    /**
     * Submits a call.
     *
     * @param task the call, not null
     * @param sink the sink that receives the outcome, not null
     */
    void submit(StageTask task, CallSink sink);

    /**
     * Called when the connection of a call is closed.
     *
     * @param task the call, not null
     * @param sink the sink with which the call was submitted, not null
     */
    void onDisconnected(StageTask task, CallSink sink);

    /**
     * Gets the current load.
     *
     * @return the load, never null
     */
    Load getLoad();

    /**
     * The load of an endpoint.
     *
     * @param running the number of running calls
     * @param waiting the number of queued calls
     * @param slots the maximum number of concurrent calls
     * @param leaving whether the endpoint drains, so that it should receive no new calls
     */
    record Load(int running, int waiting, int slots, boolean leaving) {}
}
