package org.fuchsiawharf.daemon.load;

/**
 * What one caller experienced.
 *
 * <p>Immutable and thread-safe.
 *
 * @param planned the request
 * @param result how it ended
 * @param code the refusal's code, empty if there was none
 * @param latencyNanos the time from when it was planned to its end
 */
public record CallerRecord(LoadSchedule.Planned planned, Result result, String code, long latencyNanos) {
    private static final long NANOS_PER_MILLI = 1_000_000;

    /** How a request ended for its caller. */
    public enum Result {
        /** A whole answer that bears the request's mark. */
        ANSWERED,
        /** An answer that bears another mark. */
        CROSSED,
        /** An answer that is not whole. */
        INCOMPLETE,
        /** A refusal that says that nothing ran. */
        NOT_RUN,
        /** A refusal that says that repeating is safe. */
        FAILED,
        /** A refusal that says that repeating is not safe. */
        UNKNOWN,
        /** A refusal without an outcome. */
        REFUSED,
        /** A stream that broke off without its last event. */
        CUT,
        /** No answer at all. */
        LOST
    }

    /**
     * Tells whether the caller has its whole answer in time.
     *
     * @return true if it has
     */
    public boolean isAttained() {
        return result == Result.ANSWERED && latencyNanos <= planned.template().deadlineMillis() * NANOS_PER_MILLI;
    }

    /**
     * Tells whether an answer came after the deadline.
     *
     * @return true if it did
     */
    public boolean isLate() {
        return result == Result.ANSWERED && !isAttained();
    }
}
