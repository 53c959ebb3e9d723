package org.fuchsiawharf.core.model;

import java.util.Locale;

import org.fuchsiawharf.core.error.ArgumentException;

/**
 * What a deployment weighs more heavily.
 *
 * <p>It moves hedging, spill to other availability zones and early stopping. Immutable and thread-safe.
 */
public enum Objective {
    /** Requests answered in time matter most: hedges are allowed and doomed work is stopped late. */
    ATTAINMENT,
    /** Work spent matters most: no hedges, and doomed work is stopped early. */
    COST;

    /**
     * Parses an objective from its wire form.
     *
     * @param text {@code attainment} or {@code cost}, in any case, not null
     * @return the objective, never null
     * @throws ArgumentException if the text names no objective
     */
    public static Objective parse(String text) {
        for (Objective objective : values()) {
            if (objective.name().equalsIgnoreCase(text)) {
                return objective;
            }
        }
        throw new ArgumentException("objective", text, "attainment or cost");
    }

    /**
     * Gets the wire form, such as {@code cost}.
     *
     * @return the lower-case name, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
