package org.fuchsiawharf.core.limits;

/**
 * Bounds the calls that one instance has open at one endpoint.
 *
 * <p>Confined to the decision loop.
 */
public interface ConcurrencyLimit {
    /**
     * Tells whether one more call may be opened.
     *
     * @param inFlight this instance's open calls
     * @param occupancy the expected calls at the endpoint from all instances
     * @param slots the calls that the endpoint runs at once
     * @return true if there is room
     */
    boolean hasRoom(int inFlight, double occupancy, int slots);

    /**
     * Learns from a call that began to be answered.
     *
     * @param inFlight the open calls, that one included
     * @param delayNanos the time until its answer, or until the first token of a stream
     * @param nowNanos the time
     */
    void onAnswer(int inFlight, long delayNanos, long nowNanos);

    /**
     * Learns from a call that was refused or timed out.
     *
     * @param inFlight the open calls, that one included
     * @param nowNanos the time
     */
    void onPushback(int inFlight, long nowNanos);
}
