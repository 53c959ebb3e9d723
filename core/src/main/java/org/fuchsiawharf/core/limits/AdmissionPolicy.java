package org.fuchsiawharf.core.limits;

/**
 * Decides whether a request can complete before its deadline, at admission and between its stages.
 *
 * <p>Confined to the decision loop.
 */
public interface AdmissionPolicy {
    /**
     * Decides whether a request is admitted, before any of its stages runs.
     *
     * @param remainingNanos the time until the request's deadline, in nanoseconds
     * @param workNanos the total typical time of the request's stages, in nanoseconds
     * @param waitNanos the expected wait in this instance's queues, in nanoseconds
     * @return true if the request should be admitted
     */
    boolean isAdmitted(long remainingNanos, double workNanos, double waitNanos);

    /**
     * Decides whether a request continues after a stage.
     *
     * @param remainingNanos the time until the request's deadline, in nanoseconds
     * @param workNanos the total typical time of the remaining stages, in nanoseconds
     * @return true if the request should continue
     */
    boolean isWorthContinuing(long remainingNanos, double workNanos);

    /**
     * Gets the maximum time that a request waits in a queue before it is rejected.
     *
     * @return the time in nanoseconds
     */
    double getMaxQueueTimeNanos();

    /**
     * Gets the maximum number of requests that wait for one service.
     *
     * @return the count
     */
    int getQueueCapacity();
}
