package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.retry.HedgeDelay;
import org.fuchsiawharf.core.routing.EndpointState;

/**
 * Writes the log events for the admission, the hedges and the end of requests.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestDecisionLog {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private RequestDecisionLog() {}

    /**
     * The end of a request.
     *
     * @param outcome the outcome for the caller
     * @param tookNanos the time since arrival, in nanoseconds
     * @param stagesNanos the time from arrival until the stages were done, in nanoseconds; 0 if they were not done
     * @param stageEnds the expected and the actual end of each stage that was done, see {@link StageRun#describeEnds}
     * @param leftNanos the time left until the deadline, in nanoseconds
     * @param attempts the endpoint, result and duration of each attempt
     * @param retryAfterMillis the delay after which the caller should retry, in milliseconds; 0 if not specified
     */
    record Ending(
            String outcome,
            long tookNanos,
            long stagesNanos,
            String stageEnds,
            long leftNanos,
            List<String> attempts,
            long retryAfterMillis) {}

    /**
     * The inputs of the decision on a hedge.
     *
     * @param service the called service
     * @param slowEndpoint the endpoint of the first call
     * @param elapsedNanos the time since the first call was sent, in nanoseconds
     * @param estimate the response times on which the delay is based
     * @param leftNanos the time left until the deadline, in nanoseconds
     * @param attempts the number of attempts before the decision
     * @param balance the hedges that the share of the service allowed, with fractions
     */
    record HedgeInputs(
            String service,
            EndpointState slowEndpoint,
            long elapsedNanos,
            HedgeDelay.Estimate estimate,
            long leftNanos,
            int attempts,
            double balance) {}

    static void writeAdmission(
            DecisionLog log,
            RoutedRequest routedRequest,
            int rank,
            RequestAdmission.RequestEstimate estimate,
            RequestAdmission.Decision decision,
            long backlogStalenessNanos) {
        log.write(
                decision.admitted() ? "request.admitted" : "request.not_admitted",
                "request",
                routedRequest.request().id(),
                "route",
                routedRequest.route().name(),
                "rank",
                rank,
                "wait_ms",
                Math.round(estimate.waitMillis()),
                "expected_ms",
                Math.round(estimate.doneMillis()),
                "objective_ms",
                Math.round(estimate.objectiveMillis()),
                "deadline_ms",
                Math.round(estimate.deadlineMillis()),
                "retry_after_ms",
                decision.retryAfterMillis(),
                "backlog_age_ms",
                backlogStalenessNanos / NANOS_PER_MILLI);
    }

    static void writeStopAdmission(DecisionLog log, RoutedRequest routedRequest, StopAdmission.Decision decision) {
        log.write(
                decision.admitted() ? "stop.admitted" : "stop.not_admitted",
                "request",
                routedRequest.request().id(),
                "route",
                routedRequest.route().name(),
                "expected_ms",
                decision.expectedMillis(),
                "left_ms",
                decision.leftMillis(),
                "samples",
                decision.samples());
    }

    static void writeHedge(
            DecisionLog log, RoutedRequest routedRequest, HedgeInputs inputs, HedgeCheck.Decision decision) {
        EndpointState endpoint = decision.endpoint();
        log.write(
                endpoint != null ? "request.hedged" : "request.not_hedged",
                "request",
                routedRequest.request().id(),
                "service",
                inputs.service(),
                "reason",
                decision.reason(),
                "endpoint",
                endpoint == null ? null : endpoint.getEndpoint().name(),
                "slow_endpoint",
                inputs.slowEndpoint().getEndpoint().name(),
                "elapsed_ms",
                inputs.elapsedNanos() / NANOS_PER_MILLI,
                "delay_ms",
                inputs.estimate().delayNanos() / NANOS_PER_MILLI,
                "median_ms",
                inputs.estimate().medianNanos() / NANOS_PER_MILLI,
                "samples",
                inputs.estimate().samples(),
                "left_ms",
                inputs.leftNanos() / NANOS_PER_MILLI,
                "attempts",
                inputs.attempts(),
                "share_balance",
                inputs.balance());
    }

    static void writeStreamBegun(DecisionLog log, RoutedRequest routedRequest, EndpointState endpoint) {
        RelayRequest.TakeUp takeUp = routedRequest.request().takeUp();
        log.write(
                "stream.begun",
                "request",
                routedRequest.request().id(),
                "endpoint",
                endpoint.getEndpoint().name(),
                "version",
                endpoint.getVersion(),
                "takes_up",
                takeUp == null ? null : takeUp.firstRequest(),
                "after_event",
                takeUp == null ? null : takeUp.lastEventId());
    }

    static void writeEnding(DecisionLog log, RoutedRequest routedRequest, Ending ending) {
        log.write(
                "request.ended",
                "request",
                routedRequest.request().id(),
                "route",
                routedRequest.route().name(),
                "workspace",
                routedRequest.workspace() == null
                        ? null
                        : routedRequest.workspace().name(),
                "fingerprint",
                routedRequest.fingerprint(),
                "config",
                routedRequest.configVersion(),
                "outcome",
                ending.outcome(),
                "took_ms",
                ending.tookNanos() / NANOS_PER_MILLI,
                "stages_ms",
                ending.stagesNanos() / NANOS_PER_MILLI,
                "stage_ends",
                ending.stageEnds(),
                "left_ms",
                ending.leftNanos() / NANOS_PER_MILLI,
                "sends",
                String.join(" ", ending.attempts()),
                "retry_after_ms",
                ending.retryAfterMillis());
    }
}
