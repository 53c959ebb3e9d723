package org.fuchsiawharf.relay.edge;

import java.math.BigDecimal;

import org.fuchsiawharf.core.routing.EndpointLoad;
import org.jspecify.annotations.Nullable;

/**
 * The load that an endpoint states in a response: running and waiting calls, slots and, at newer endpoints, how long work
 * takes at this moment in percent of the usual.
 *
 * <p>Immutable and thread-safe.
 *
 * @param running the number of running calls, at least 0
 * @param waiting the number of waiting calls, at least 0
 * @param slots the number of calls that the endpoint runs concurrently, at least 0
 * @param durationRatio the ratio of the duration of work to the usual one, 0 if it is not stated
 */
record LoadReport(int running, int waiting, int slots, double durationRatio) {
    /** Largest plausible number of calls at one endpoint. */
    private static final int MAX_CALLS = 1_000_000;

    private static final double PERCENT = 100;
    private static final int MAX_LENGTH = 64;

    /**
     * Parses the value of a load field.
     *
     * @param value the figures, separated by commas; figures after the fourth are ignored; not null
     * @return the report, null if a figure is missing, malformed or not plausible
     */
    static @Nullable LoadReport parse(String value) {
        String[] parts = value.length() > MAX_LENGTH ? new String[0] : value.split(",", -1);
        if (parts.length < 3) {
            return null;
        }
        try {
            int running = Integer.parseInt(parts[0].trim());
            int waiting = Integer.parseInt(parts[1].trim());
            int slots = Integer.parseInt(parts[2].trim());
            double ratio = parts.length > 3 ? new BigDecimal(parts[3].trim()).doubleValue() / PERCENT : 0;
            boolean plausible = isCount(running)
                    && isCount(waiting)
                    && isCount(slots)
                    && (parts.length == 3 || EndpointLoad.isPlausible(ratio));
            return plausible ? new LoadReport(running, waiting, slots, ratio) : null;
        } catch (NumberFormatException e) {
            // The caller logs the value.
            return null;
        }
    }

    private static boolean isCount(int number) {
        return number >= 0 && number <= MAX_CALLS;
    }

    boolean isDurationStated() {
        return durationRatio > 0;
    }
}
