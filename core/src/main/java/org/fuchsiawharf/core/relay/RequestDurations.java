package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * The durations of the recent requests of one route, from their arrival to the end of the response.
 *
 * <p>A request that ended without its response would have lasted longer; it counts only if it lasted longer than the
 * mean. Confined to the decision loop.
 */
final class RequestDurations {
    /** Mean deviations above the mean; few requests of a route whose durations vary by their mean last longer. */
    private static final double HIGH_DEVIATIONS = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final LatencyEstimate duration = new LatencyEstimate(0);

    /**
     * Records the end of a request.
     *
     * @param answered whether the whole response was sent and was a success
     * @param nanos the time since its arrival, in nanoseconds
     */
    void onEnded(boolean answered, long nanos) {
        if (answered || (getCount() > 0 && nanos > duration.getMean())) {
            duration.add(nanos);
        }
    }

    /** Gets the number of requests that counted. */
    int getCount() {
        return duration.getCount();
    }

    /** Gets a duration that few requests exceed, in milliseconds; 0 if none counted. */
    double getHighMillis() {
        return duration.getBound(HIGH_DEVIATIONS) / NANOS_PER_MILLI;
    }
}
