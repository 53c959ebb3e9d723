package org.fuchsiawharf.core.relay;

/**
 * Rejects requests that cannot meet their latency objective because of the backlog, the less urgent ones first.
 *
 * <p>During a burst beyond capacity, requests that end after their objective use the capacity that other requests
 * need to meet theirs, until all requests are late. The share of the objective that a request may fill decreases with
 * its rank among the routes of one workspace priority, so that the queue leaves time for more urgent requests to
 * overtake less urgent ones.
 *
 * <p>A request that does not have to wait is admitted even if it will be late, since rejecting it would not help any
 * other request. A request that has to wait and has already missed its objective is admitted only to a queue that a
 * new request could join; with seconds left until its deadline, it would otherwise occupy result memory that requests
 * on time need. A request that cannot end before its deadline is rejected without a retry delay.
 *
 * <p>A rejected caller is asked to stay away for as long as it would be taken for a new one: sooner, it would join the
 * queue in place of requests that still can be on time.
 *
 * <p>Stateless and thread-safe.
 */
public final class ObjectiveAdmission implements RequestAdmission {
    /** Share of the objective that the expected time may fill, by rank. */
    private static final double[] OBJECTIVE_SHARE_BY_RANK = {1.1, 1.05, 0.95, 1.0, 0.95, 0.9};
    /** Share of the full objective that the expected time of a request with a missed objective may fill. */
    private static final double LATE_OBJECTIVE_SHARE = 0.85;
    /** Minimum retry delay; a caller needs a round trip and a new connection in any case. */
    private static final long MIN_RETRY_MILLIS = 150;
    /** Maximum retry delay; the length of a burst. */
    private static final long MAX_RETRY_MILLIS = 3_000;

    @Override
    public Decision decide(RequestEstimate estimate) {
        if (estimate.doneMillis() > estimate.deadlineMillis()) {
            return Decision.reject(0);
        }
        if (estimate.waitMillis() <= 0) {
            return Decision.ADMIT;
        }
        double share =
                OBJECTIVE_SHARE_BY_RANK[Math.min(OBJECTIVE_SHARE_BY_RANK.length - 1, Math.max(0, estimate.rank()))];
        boolean late = estimate.objectiveMillis() <= 0;
        double boundMillis = late
                ? Math.min(estimate.deadlineMillis(), estimate.fullObjectiveMillis()) * LATE_OBJECTIVE_SHARE
                : estimate.objectiveMillis() * share;
        if (estimate.doneMillis() <= boundMillis) {
            return Decision.ADMIT;
        }
        double excessMillis = Math.min(estimate.waitMillis(), estimate.doneMillis() - boundMillis);
        double minRetryMillis = Math.max(MIN_RETRY_MILLIS, estimate.unrecognizedMillis());
        return Decision.reject((long) Math.min(MAX_RETRY_MILLIS, Math.max(minRetryMillis, 2 * excessMillis)));
    }
}
