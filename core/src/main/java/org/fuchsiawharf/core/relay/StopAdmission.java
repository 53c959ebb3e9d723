package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.route.Route;

/**
 * Decides which requests a stopping instance accepts: those that it expects to end before it ends all requests.
 *
 * <p>A request that is cut may have run, and the caller of one that runs at most once cannot repeat it; a refused one
 * is served by another instance at once. The expected duration is therefore a high estimate of the route's requests.
 * Without enough requests to know, the objective is assumed, for a stream the timeout. No request lasts longer than its
 * deadline, at which it is answered.
 *
 * <p>Immutable and thread-safe.
 */
final class StopAdmission {
    /** Number of requests from which the duration of a route's requests is known. */
    static final int MIN_SAMPLES = 4;

    private static final double NANOS_PER_MILLI = 1e6;

    private final long endNanos;

    /**
     * The decision about one request.
     *
     * @param admitted whether the request is accepted
     * @param expectedMillis the time after which the request has probably ended, in milliseconds
     * @param leftMillis the time until the instance ends all requests, in milliseconds
     * @param samples the number of requests of the route whose duration was measured
     */
    record Decision(boolean admitted, long expectedMillis, long leftMillis, int samples) {}

    /**
     * Creates the policy of one stop.
     *
     * @param endNanos the time at which the instance ends all requests, in nanoseconds
     */
    StopAdmission(long endNanos) {
        this.endNanos = endNanos;
    }

    /**
     * Decides about a new request.
     *
     * @param route the route of the request, not null
     * @param deadlineMillis the time left for the request, in milliseconds; 0 if not specified
     * @param backlogMillis the estimated time of the request's stages and its response by the current backlog, in
     *     milliseconds
     * @param durations the durations of the route's requests, not null
     * @param nowNanos the time, in nanoseconds
     * @return the decision, never null
     */
    Decision decide(Route route, long deadlineMillis, double backlogMillis, RequestDurations durations, long nowNanos) {
        double expectedMillis = Math.max(backlogMillis, estimateMillis(route, durations));
        long longestMillis =
                deadlineMillis > 0 ? Math.min(deadlineMillis, route.timeoutMillis()) : route.timeoutMillis();
        double endMillis = Math.min(expectedMillis, longestMillis);
        double leftMillis = (endNanos - nowNanos) / NANOS_PER_MILLI;
        return new Decision(
                endMillis <= leftMillis, Math.round(endMillis), Math.round(leftMillis), durations.getCount());
    }

    private static double estimateMillis(Route route, RequestDurations durations) {
        double measuredMillis = durations.getCount() == 0 ? 0 : durations.getHighMillis();
        if (durations.getCount() >= MIN_SAMPLES) {
            return measuredMillis;
        }
        long assumedMillis = route.kind().isStream() ? route.timeoutMillis() : route.objectiveMillis();
        return Math.max(measuredMillis, assumedMillis);
    }
}
