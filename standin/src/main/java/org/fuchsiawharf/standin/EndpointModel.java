package org.fuchsiawharf.standin;

/**
 * Computes what an endpoint does with its calls, and when.
 *
 * <p>Implementations are thread-safe.
 */
interface EndpointModel {
    /**
     * Takes a call.
     *
     * @param task the call, not null
     * @param sink hears of the outcome, not null
     */
    void submit(StageTask task, CallSink sink);

    /**
     * Notes that the connection of a call is gone.
     *
     * @param task the call, not null
     * @param sink the sink it was submitted with, not null
     */
    void disconnected(StageTask task, CallSink sink);

    /**
     * Gets the present load.
     *
     * @return the load, never null
     */
    Load getLoad();

    /**
     * An endpoint's load.
     *
     * @param running calls running
     * @param waiting calls waiting
     * @param slots calls that run at once
     * @param leaving whether the endpoint is leaving
     */
    record Load(int running, int waiting, int slots, boolean leaving) {}
}
