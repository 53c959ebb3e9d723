package org.fuchsiawharf.core.log;

import org.jspecify.annotations.Nullable;

/**
 * Structured log with one line for each decision.
 *
 * <p>Implementations are thread-safe and do not block: lines that exceed their capacity are dropped and counted.
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
