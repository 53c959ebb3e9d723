package org.fuchsiawharf.core.port;

/**
 * Accepts events for the decision loop.
 *
 * <p>Implementations are thread-safe and preserve the order of events published by the same thread.
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
