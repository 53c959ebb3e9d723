package org.fuchsiawharf.core.limits;

/**
 * Limits the number of calls that one instance has in flight to one endpoint.
 *
 * <p>Confined to the decision loop.
 */
public interface ConcurrencyLimit {
    /**
     * Checks whether one more call may be sent.
     *
     * @param inFlight the number of this instance's calls in flight
     * @param occupancy the expected number of calls at the endpoint from all instances
     * @param slots the number of calls that the endpoint runs concurrently
     * @return true if the limit allows the call
     */
    boolean hasRoom(int inFlight, double occupancy, int slots);

    /**
     * Records the beginning of a response.
     *
     * @param inFlight the number of calls in flight, including this one
     * @param delayNanos the time until the response begins, or until the first token of a stream, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     */
    void onResponseStart(int inFlight, long delayNanos, long nowNanos);

    /**
     * Records a call that was refused or timed out.
     *
     * @param inFlight the number of calls in flight, including this one
     * @param nowNanos the current time, in nanoseconds
     */
    void onPushback(int inFlight, long nowNanos);
}
