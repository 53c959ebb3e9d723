package org.fuchsiawharf.core.pieces;

import org.fuchsiawharf.core.log.DecisionLog;

/**
 * Writes the log events of the calls to the endpoints of one stage service.
 *
 * <p>Confined to the decision loop.
 *
 * @param log the log
 * @param service the name of the stage service of the pool
 */
record StageCallLog(DecisionLog log, String service) {
    private static final long NANOS_PER_MILLI = 1_000_000L;

    /**
     * The state at the start of a call.
     *
     * @param endpoint the name of the endpoint
     * @param pieces the number of pieces in the call
     * @param expectedNanos the expected duration, in nanoseconds
     * @param queued the number of pieces that stayed in the queue
     * @param freeBytes the free space for results at the endpoint, in bytes
     * @param idleNanos the time for which the slot had been idle while pieces were queued, in nanoseconds
     */
    record Start(String endpoint, int pieces, double expectedNanos, int queued, long freeBytes, long idleNanos) {}

    void writeAnswered(Start start, long tookNanos, int queued) {
        log.write(
                "stage.answered",
                "service",
                service,
                "endpoint",
                start.endpoint(),
                "pieces",
                start.pieces(),
                "took_ms",
                tookNanos / NANOS_PER_MILLI,
                "expected_ms",
                (long) (start.expectedNanos() / NANOS_PER_MILLI),
                "waiting",
                queued,
                "waiting_at_start",
                start.queued(),
                "free_bytes_at_start",
                start.freeBytes(),
                "idle_ms",
                start.idleNanos() / NANOS_PER_MILLI);
    }

    void writeFailed(Start start, String failure, String detail, long tookNanos) {
        log.write(
                "stage.failed",
                "service",
                service,
                "endpoint",
                start.endpoint(),
                "pieces",
                start.pieces(),
                "failure",
                failure,
                "detail",
                detail,
                "took_ms",
                tookNanos / NANOS_PER_MILLI);
    }

    void writeStuck(Start start) {
        log.write(
                "stage.stuck",
                "service",
                service,
                "endpoint",
                start.endpoint(),
                "pieces",
                start.pieces(),
                "expected_ms",
                (long) (start.expectedNanos() / NANOS_PER_MILLI));
    }
}
