package org.fuchsiawharf.core.limits;

/**
 * Decides whether work that is not yet started can still be done in time.
 *
 * <p>Confined to the decision loop.
 */
public interface AdmissionPolicy {
    /**
     * Decides on a request before anything of it ran.
     *
     * @param remainingNanos the time until its deadline
     * @param workNanos the typical time of its stages together
     * @param waitNanos the expected wait in this instance's queues
     * @return true if it should be admitted
     */
    boolean isAdmitted(long remainingNanos, double workNanos, double waitNanos);

    /**
     * Decides on a request between two stages.
     *
     * @param remainingNanos the time until its deadline
     * @param workNanos the typical time of the remaining stages together
     * @return true if it should go on
     */
    boolean isWorthContinuing(long remainingNanos, double workNanos);

    /**
     * Gets how long a request waits in a queue before it is refused.
     *
     * @return nanoseconds
     */
    double getMaxQueueNanos();

    /**
     * Gets the greatest number of requests that wait for one service.
     *
     * @return the count
     */
    int getQueueCapacity();
}
