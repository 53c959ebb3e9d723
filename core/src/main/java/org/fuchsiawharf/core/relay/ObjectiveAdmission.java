package org.fuchsiawharf.core.relay;

/**
 * Refuses what cannot meet its objective because of those that wait already, the less urgent first.
 *
 * <p>Answers the load of bursts beyond capacity: work that ends after its objective takes the place of work that
 * would end before, until everything is late. Each rank may fill less of its objective than the one before, so that
 * the queue that a less urgent request joins leaves time for more urgent ones to overtake it. A request that meets
 * no queue is taken on even if it will be late: refusing it would help nobody. One that meets a queue and has missed
 * its objective already joins only a queue that a new request could join: with seconds until its deadline it would
 * otherwise hold space for results that requests in time need. One that cannot end before its deadline is refused
 * without advice to come back.
 *
 * <p>Stateless and thread-safe.
 */
public final class ObjectiveAdmission implements RequestAdmission {
    /** The share of the objective that the expected time may fill, by rank. */
    private static final double[] FILL_BY_RANK = {1.1, 1.05, 0.95, 1.0, 0.95, 0.9};
    /** The share of a whole objective that a request may fill whose own objective is missed. */
    private static final double LATE_FILL = 0.85;
    /** The shortest advice to come back; a caller needs a round trip and a new connection anyway. */
    private static final long MIN_RETRY_MILLIS = 150;
    /** The longest advice; a burst lasts seconds, and what waits is worked off faster than that. */
    private static final long MAX_RETRY_MILLIS = 3_000;

    @Override
    public Verdict decide(Outlook outlook) {
        if (outlook.doneMillis() > outlook.deadlineMillis()) {
            return Verdict.refuse(0);
        }
        if (outlook.waitMillis() <= 0) {
            return Verdict.ADMIT;
        }
        double fill = FILL_BY_RANK[Math.min(FILL_BY_RANK.length - 1, Math.max(0, outlook.rank()))];
        boolean late = outlook.objectiveMillis() <= 0;
        double bound = late
                ? Math.min(outlook.deadlineMillis(), outlook.fullObjectiveMillis()) * LATE_FILL
                : outlook.objectiveMillis() * fill;
        if (outlook.doneMillis() <= bound) {
            return Verdict.ADMIT;
        }
        double excess = Math.min(outlook.waitMillis(), outlook.doneMillis() - bound);
        return Verdict.refuse((long) Math.min(MAX_RETRY_MILLIS, Math.max(MIN_RETRY_MILLIS, 2 * excess)));
    }
}
