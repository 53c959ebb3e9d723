package org.fuchsiawharf.core.relay;

import org.fuchsiawharf.core.routing.LatencyEstimate;
import org.fuchsiawharf.core.time.Clock;

/**
 * Statistics of one instance about the requests of one route.
 *
 * <p>Confined to the decision loop.
 */
final class RouteStatistics {
    /** Assumed response time before the first measurement; an engine reads a prompt of a few thousand tokens in it. */
    private static final double INITIAL_RESPONSE_NANOS = 150e6;

    /** Bounds of the ratio that one request contributes, so that one stuck call cannot cause later rejections. */
    private static final double MIN_BIAS = 0.7;

    private static final double MAX_BIAS = 2.0;
    /** Weight of the latest request; an instance receives some requests of a route per second. */
    private static final double BIAS_WEIGHT = 0.1;

    private final LatencyEstimate responseTime = new LatencyEstimate(INITIAL_RESPONSE_NANOS);
    private final ElapsedTimeEstimator elapsedTime;
    private final RequestDurations durations = new RequestDurations();
    private double stageBias = 1;

    RouteStatistics(Clock clock) {
        this.elapsedTime = new ElapsedTimeEstimator(clock);
    }

    /** Records the time from sending a request until its response or first event, in nanoseconds. */
    void onResponse(long nanos) {
        responseTime.add(nanos);
    }

    /** Gets the mean time from sending a request until its response or first event, in milliseconds. */
    double getResponseMillis() {
        return responseTime.getMean() / 1e6;
    }

    /** Records the estimated and the actual duration of a request's stages, in milliseconds. */
    void onStagesDone(double estimatedMillis, double actualMillis) {
        if (estimatedMillis > 0) {
            double ratio = Math.max(MIN_BIAS, Math.min(MAX_BIAS, actualMillis / estimatedMillis));
            stageBias += BIAS_WEIGHT * (ratio - stageBias);
        }
    }

    /** Gets the smoothed ratio of the actual to the estimated duration of stages. */
    double getStageBias() {
        return stageBias;
    }

    /** Gets the durations of whole requests. */
    RequestDurations getDurations() {
        return durations;
    }

    /** Gets the estimator of the time since a caller's first attempt. */
    ElapsedTimeEstimator getElapsedTime() {
        return elapsedTime;
    }
}
