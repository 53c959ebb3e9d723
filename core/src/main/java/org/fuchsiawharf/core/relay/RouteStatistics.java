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

    /** Bounds of what one request tells about forecasts; one stuck call must not refuse all that follow. */
    private static final double MIN_BIAS = 0.7;

    private static final double MAX_BIAS = 2.0;
    /** The weight of the newest request; some requests of one route a second at each instance. */
    private static final double BIAS_WEIGHT = 0.1;

    private final LatencyEstimate answer = new LatencyEstimate(PRIOR_ANSWER_NANOS);
    private double stageBias = 1;
    private long longestDeadlineMillis;

    /** Learns the time from sending a request until its answer or its first event. */
    void onAnswered(long nanos) {
        answer.add(nanos);
    }

    /** Gets the usual time from sending a request until its answer or its first event, in milliseconds. */
    double getAnswerMillis() {
        return answer.getMean() / 1e6;
    }

    /** Learns how long the stages of a request took against what was foretold. */
    void onStagesDone(double foretoldMillis, double tookMillis) {
        if (foretoldMillis > 0) {
            double ratio = Math.max(MIN_BIAS, Math.min(MAX_BIAS, tookMillis / foretoldMillis));
            stageBias += BIAS_WEIGHT * (ratio - stageBias);
        }
    }

    /** Gets by how much forecasts of stages fall short of late. */
    double getStageBias() {
        return stageBias;
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
