package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.log.DecisionLog;

/**
 * The log lines of a request's life.
 *
 * <p>Stateless and thread-safe.
 */
final class RequestLines {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    private RequestLines() {}

    /**
     * How a request ended.
     *
     * @param outcome what its caller got
     * @param tookNanos the time since its arrival
     * @param stagesNanos the part of it until its stages were done, 0 if they never were
     * @param leftNanos the time until its deadline
     * @param sends each send with its result and time
     * @param retryAfterMillis the advice to come back, 0 for none
     */
    record Ending(
            String outcome,
            long tookNanos,
            long stagesNanos,
            long leftNanos,
            List<String> sends,
            long retryAfterMillis) {}

    static void writeAdmission(
            DecisionLog log,
            RelayTask.Order order,
            int rank,
            RequestAdmission.Outlook outlook,
            RequestAdmission.Verdict verdict,
            long backlogAgeNanos) {
        log.write(
                verdict.admitted() ? "request.admitted" : "request.not_admitted",
                "request",
                order.request().id(),
                "route",
                order.route().name(),
                "rank",
                rank,
                "wait_ms",
                Math.round(outlook.waitMillis()),
                "expected_ms",
                Math.round(outlook.doneMillis()),
                "objective_ms",
                Math.round(outlook.objectiveMillis()),
                "deadline_ms",
                Math.round(outlook.deadlineMillis()),
                "retry_after_ms",
                verdict.retryAfterMillis(),
                "backlog_age_ms",
                backlogAgeNanos / NANOS_PER_MILLI);
    }

    static void writeEnding(DecisionLog log, RelayTask.Order order, Ending ending) {
        log.write(
                "request.ended",
                "request",
                order.request().id(),
                "route",
                order.route().name(),
                "workspace",
                order.workspace() == null ? null : order.workspace().name(),
                "config",
                order.configVersion(),
                "outcome",
                ending.outcome(),
                "took_ms",
                ending.tookNanos() / NANOS_PER_MILLI,
                "stages_ms",
                ending.stagesNanos() / NANOS_PER_MILLI,
                "left_ms",
                ending.leftNanos() / NANOS_PER_MILLI,
                "sends",
                String.join(" ", ending.sends()),
                "retry_after_ms",
                ending.retryAfterMillis());
    }
}
