package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * What this instance has learned about the requests of one route.
 *
 * <p>Confined to the decision loop.
 */
final class RouteStatistics {
    /** The time until an engine's first event before any was seen; the reading of a prompt of some thousand tokens. */
    private static final double PRIOR_ANSWER_NANOS = 150e6;

    private final LatencyEstimate answer = new LatencyEstimate(PRIOR_ANSWER_NANOS);
    private long longestDeadlineMillis;

    /** Learns the time from sending a request until its answer or its first event. */
    void onAnswered(long nanos) {
        answer.add(nanos);
    }

    /** Gets the usual time from sending a request until its answer or its first event, in milliseconds. */
    double getAnswerMillis() {
        return answer.getMean() / 1e6;
    }

    /**
     * Gets how long a caller has waited already: one that comes back says a shorter deadline than at first.
     *
     * @param deadlineMillis the deadline that it says, in milliseconds; 0 if it says none
     * @return milliseconds
     */
    long elapsedMillis(long deadlineMillis) {
        if (deadlineMillis <= 0) {
            return 0;
        }
        longestDeadlineMillis = Math.max(longestDeadlineMillis, deadlineMillis);
        return longestDeadlineMillis - deadlineMillis;
    }
}
