package org.fuchsiawharf.core.loop;

import org.fuchsiawharf.core.port.Event;

/**
 * Handles events one at a time.
 *
 * <p>Confined to one thread.
 */
public interface EventProcessor {
    /**
     * Handles an event and every timer that is due.
     *
     * @param event the event, not null
     * @param nowNanos the time
     */
    void process(Event event, long nowNanos);

    /**
     * Gets when the next timer is due.
     *
     * @return nanoseconds, {@link org.fuchsiawharf.core.time.TimerService#NEVER} for none
     */
    long getNextDue();
}
