package org.fuchsiawharf.core.model;

import java.util.Locale;

import org.fuchsiawharf.core.error.ArgumentException;

/**
 * The priority of a request; queued requests are served in the order of their priority, highest first.
 *
 * <p>Immutable and thread-safe.
 */
public enum Priority {
    HIGH,
    NORMAL,
    LOW;

    /**
     * Parses a priority from its wire form.
     *
     * @param text {@code high}, {@code normal} or {@code low}, in any case, not null
     * @return the priority, never null
     * @throws ArgumentException if the text is not a priority
     */
    public static Priority parse(String text) {
        for (Priority priority : values()) {
            if (priority.name().equalsIgnoreCase(text)) {
                return priority;
            }
        }
        throw new ArgumentException("priority", text, "high, normal or low");
    }

    /**
     * Gets the wire form, such as {@code normal}.
     *
     * @return the lower-case name, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
