package org.fuchsiawharf.core.log;

import org.jspecify.annotations.Nullable;

/**
 * Structured log of an instance's events and decisions, one line each.
 *
 * <p>Implementations are thread-safe and do not block: lines beyond an implementation's capacity are dropped and
 * counted.
 */
@FunctionalInterface
public interface DecisionLog {
    /** Discards every line. */
    DecisionLog NONE = (event, fields) -> {};

    /**
     * Writes a line.
     *
     * @param event the name of the event, such as {@code request.refused}, not null
     * @param fields field names and values, alternating; a value may be null
     */
    void write(String event, @Nullable Object... fields);
}
