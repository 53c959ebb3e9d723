package org.fuchsiawharf.core.log;

import org.jspecify.annotations.Nullable;

/**
 * Takes one structured line for each decision.
 *
 * <p>Never blocks: an implementation drops lines that it has no room for, and counts them. Implementations are
 * thread-safe.
 */
@FunctionalInterface
public interface DecisionLog {
    /** Drops every line. */
    DecisionLog NONE = (event, fields) -> {};

    /**
     * Writes a line.
     *
     * @param event what was decided or learned, such as {@code request.refused}, not null
     * @param fields names and values in turn; a value may be null
     */
    void write(String event, @Nullable Object... fields);
}
