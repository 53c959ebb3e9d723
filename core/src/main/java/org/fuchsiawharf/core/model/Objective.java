package org.fuchsiawharf.core.model;

import java.util.Locale;

import org.fuchsiawharf.core.error.ArgumentException;

/**
 * The optimization objective of a deployment.
 *
 * <p>The objective controls hedging, spill-over to other availability zones and early termination of requests.
 * Immutable and thread-safe.
 */
public enum Objective {
    /**
     * Maximizes requests answered in time: hedging is allowed, and requests that will miss their deadline are stopped
     * later than under {@link #COST}.
     */
    ATTAINMENT,
    /** Minimizes the work spent: no hedging, and requests that will miss their deadline are stopped early. */
    COST;

    /**
     * Parses an objective from its wire form.
     *
     * @param text {@code attainment} or {@code cost}, in any case, not null
     * @return the objective, never null
     * @throws ArgumentException if the text is not an objective
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
