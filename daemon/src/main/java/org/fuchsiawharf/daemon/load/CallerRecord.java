package org.fuchsiawharf.daemon.load;

/**
 * The result of one request as its caller observed it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param planned the request
 * @param result the result of the request
 * @param code the error code or the reason of a failure, empty if there is none
 * @param latencyNanos the time from the planned start of the request to its end, in nanoseconds
 */
public record CallerRecord(LoadSchedule.Planned planned, Result result, String code, long latencyNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** The result of a request for its caller. */
    public enum Result {
        /** A complete response with the nonce of the request. */
        ANSWERED,
        /** A response with a nonce other than that of the request. */
        CROSSED,
        /** A response of another outcome than {@code answered}, or with tokens missing or out of order. */
        INCOMPLETE,
        /** An error response with outcome {@code not_run}: no stage can have run. */
        NOT_RUN,
        /** An error response with outcome {@code failed}: a retry is safe. */
        FAILED,
        /** An error response with outcome {@code unknown}: a retry is not safe. */
        UNKNOWN,
        /** An error response without a known outcome. */
        REFUSED,
        /** An event stream that ended without its last event. */
        CUT,
        /** No response. */
        LOST
    }

    /**
     * Checks whether the caller received a complete response within the deadline.
     *
     * @return true if the response is complete and in time
     */
    public boolean isAttained() {
        return result == Result.ANSWERED && latencyNanos <= planned.template().deadlineMillis() * NANOS_PER_MILLI;
    }

    /**
     * Checks whether the caller received a complete response after the deadline.
     *
     * @return true if the response is complete but late
     */
    public boolean isLate() {
        return result == Result.ANSWERED && !isAttained();
    }
}
