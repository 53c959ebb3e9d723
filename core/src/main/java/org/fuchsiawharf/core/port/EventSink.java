package org.fuchsiawharf.core.port;

/**
 * Takes events for the decisions.
 *
 * <p>Implementations are thread-safe and keep the order of each publishing thread.
 */
@FunctionalInterface
public interface EventSink {
    /**
     * Publishes an event.
     *
     * @param event the event, not null
     */
    void publish(Event event);
}
