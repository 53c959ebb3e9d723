package org.fuchsiawharf.core.loop;

import org.fuchsiawharf.core.port.Event;

/**
 * Processes the events of a decision loop, one at a time.
 *
 * <p>Confined to one thread.
 */
public interface EventProcessor {
    /**
     * Runs every timer that is due and then processes an event.
     *
     * @param event the event, not null
     * @param nowNanos the current time, in nanoseconds on the loop's clock
     */
    void process(Event event, long nowNanos);

    /**
     * Gets the due time of the next timer.
     *
     * @return the due time, in nanoseconds on the loop's clock,
     *     {@link org.fuchsiawharf.core.time.TimerService#NEVER} if no timer is scheduled
     */
    long getNextDue();
}
