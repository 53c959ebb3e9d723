package org.fuchsiawharf.core.relay;

/**
 * Decides whether a request is admitted on arrival.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface RequestAdmission {
    /**
     * Decides about one request.
     *
     * @param estimate the estimate for the request, not null
     * @return the decision, never null
     */
    Decision decide(RequestEstimate estimate);

    /**
     * The decision about one request.
     *
     * @param admitted whether the request is admitted
     * @param retryAfterMillis the delay after which a rejected caller should retry, in milliseconds; 0 if not specified
     */
    record Decision(boolean admitted, long retryAfterMillis) {
        /** Admits a request. */
        public static final Decision ADMIT = new Decision(true, 0);

        /**
         * Rejects a request.
         *
         * @param retryAfterMillis the delay after which the caller should retry, in milliseconds; 0 if not specified
         * @return the decision, never null
         */
        public static Decision reject(long retryAfterMillis) {
            return new Decision(false, retryAfterMillis);
        }
    }

    /**
     * The expected times and the limits of a request.
     *
     * @param rank the priority rank; 0 is the most urgent
     * @param waitMillis the part of the expected time that is spent waiting, in milliseconds
     * @param doneMillis the expected time until the first byte of the response, in milliseconds
     * @param fullObjectiveMillis the latency objective, counted from the caller's first attempt, in milliseconds
     * @param objectiveMillis the time left until the latency objective, in milliseconds; not positive if it is missed
     * @param deadlineMillis the time left until the deadline, in milliseconds
     * @param unrecognizedMillis the time since its first attempt below which a returning caller is taken for a new
     *     one, in milliseconds; 0 if every returning caller is recognized
     */
    record RequestEstimate(
            int rank,
            double waitMillis,
            double doneMillis,
            double fullObjectiveMillis,
            double objectiveMillis,
            double deadlineMillis,
            long unrecognizedMillis) {}
}
