package org.fuchsiawharf.core.relay;

/**
 * Decides at its arrival whether a request is taken on.
 *
 * <p>Implementations are stateless and thread-safe.
 */
public interface RequestAdmission {
    /**
     * Decides about one request.
     *
     * @param outlook what is expected of the request, not null
     * @return the decision, never null
     */
    Verdict decide(Outlook outlook);

    /**
     * Whether a request is taken on.
     *
     * @param admitted whether it is
     * @param retryAfterMillis if it is not, after how many milliseconds the caller should come back; 0 for no advice
     */
    record Verdict(boolean admitted, long retryAfterMillis) {
        /** Takes a request on. */
        public static final Verdict ADMIT = new Verdict(true, 0);

        /**
         * Refuses a request.
         *
         * @param retryAfterMillis after how many milliseconds the caller should come back, 0 for no advice
         * @return the decision, never null
         */
        public static Verdict refuse(long retryAfterMillis) {
            return new Verdict(false, retryAfterMillis);
        }
    }

    /**
     * What is expected of a request.
     *
     * @param rank its rank, 0 first
     * @param waitMillis how much of its time it would wait, in milliseconds
     * @param doneMillis after how long its first byte would be sent, in milliseconds
     * @param fullObjectiveMillis its latency objective, counted from its first attempt, in milliseconds
     * @param objectiveMillis what is left of its latency objective, in milliseconds; not positive if it is missed
     * @param deadlineMillis what is left until its deadline, in milliseconds
     */
    record Outlook(
            int rank,
            double waitMillis,
            double doneMillis,
            double fullObjectiveMillis,
            double objectiveMillis,
            double deadlineMillis) {}
}
