package org.fuchsiawharf.core.routing;

/**
 * The load and the duration of work that one endpoint last stated, with their age.
 *
 * <p>Answers endpoints of unequal speed, and endpoints that are slow or full for a moment. The duration of work is a
 * ratio to the usual duration of the service. What an endpoint states changes many times a second, so that the latest
 * ratio holds for a moment only; after it, the ratio that the endpoint states most of the time is expected. As statements
 * age, the ratio and the number of waiting calls approach the mean of the service, and the number of running calls 0.
 *
 * <p>Confined to the decision loop.
 */
public final class EndpointLoad {
    /** Time for which an endpoint typically stays slower than usual, because of others on its machine. */
    private static final long MOMENTARY_NANOS = 600_000_000L;
    /** Age at which the stated numbers of calls say nothing any more; a few times the duration of a call. */
    private static final long COUNTS_NANOS = 2_000_000_000L;
    /** Age at which the usual duration of an endpoint is unknown again, so that it is tried from time to time. */
    private static final long USUAL_NANOS = 60_000_000_000L;
    /** Bounds of a plausible ratio of the duration of work. */
    private static final double MIN_RATIO = 0.05;

    private static final double MAX_RATIO = 50;
    /** Weights of a statement in the usual ratio. An endpoint is slow for moments, not fast for moments. */
    private static final double FASTER_WEIGHT = 0.5;

    private static final double SLOWER_WEIGHT = 0.1;

    private double usualRatio = 1;
    private double latestRatio = 1;
    private boolean ratioStated;
    private long ratioNanos;
    private int running;
    private int waiting;
    private int ownCallsAtStatement;
    private long countsNanos;
    private boolean countsStated;

    /** Creates a load of which nothing is stated. */
    EndpointLoad() {}

    /**
     * Checks whether a ratio is plausible.
     *
     * @param ratio the ratio of the duration of work to the usual duration
     * @return false if it is no number or out of bounds
     */
    public static boolean isPlausible(double ratio) {
        return ratio >= MIN_RATIO && ratio <= MAX_RATIO;
    }

    /**
     * Applies the numbers of calls that the endpoint stated.
     *
     * @param runningCalls the number of running calls, at least 0
     * @param waitingCalls the number of waiting calls, at least 0
     * @param ownCalls the number of this instance's calls in flight
     * @param nowNanos the current time, in nanoseconds
     */
    void onCounts(int runningCalls, int waitingCalls, int ownCalls, long nowNanos) {
        running = runningCalls;
        waiting = waitingCalls;
        ownCallsAtStatement = ownCalls;
        countsNanos = nowNanos;
        countsStated = true;
    }

    /**
     * Applies the duration of work that the endpoint stated.
     *
     * @param ratio the ratio to the usual duration of the service, plausible
     * @param nowNanos the current time, in nanoseconds
     */
    void onDuration(double ratio, long nowNanos) {
        double weight = ratio < usualRatio ? FASTER_WEIGHT : SLOWER_WEIGHT;
        usualRatio = ratioStated ? usualRatio + weight * (ratio - usualRatio) : ratio;
        latestRatio = ratio;
        ratioNanos = nowNanos;
        ratioStated = true;
    }

    /**
     * Checks whether the endpoint has stated the duration of work.
     *
     * @return true once it has
     */
    public boolean isDurationStated() {
        return ratioStated;
    }

    /**
     * Gets the expected duration of work.
     *
     * @param meanRatio the mean ratio of the service, used if the endpoint has stated none
     * @param nowNanos the current time, in nanoseconds
     * @return the ratio to the usual duration of the service
     */
    public double getDurationRatio(double meanRatio, long nowNanos) {
        if (!ratioStated) {
            return meanRatio;
        }
        double usual = meanRatio + (usualRatio - meanRatio) * freshness(ratioNanos, USUAL_NANOS, nowNanos);
        return usual + (latestRatio - usual) * freshness(ratioNanos, MOMENTARY_NANOS, nowNanos);
    }

    /**
     * Gets the expected number of waiting calls.
     *
     * @param meanWaiting the mean number of waiting calls at an endpoint of the service
     * @param ownCalls the number of this instance's calls in flight
     * @param nowNanos the current time, in nanoseconds
     * @return the number, the calls that this instance has sent since the statement included
     */
    double getWaiting(double meanWaiting, int ownCalls, long nowNanos) {
        double share = countsStated ? freshness(countsNanos, COUNTS_NANOS, nowNanos) : 0;
        int sentSince = countsStated ? Math.max(0, ownCalls - ownCallsAtStatement) : ownCalls;
        return share * waiting + (1 - share) * meanWaiting + sentSince;
    }

    /**
     * Gets the number of calls that the endpoint last stated.
     *
     * @return the number of running and waiting calls, 0 if it stated none
     */
    public int getReportedCalls() {
        return running + waiting;
    }

    /** Gets the number of running calls, as far as the statement of the endpoint is recent. */
    double getRunning(long nowNanos) {
        return running * freshness(countsNanos, COUNTS_NANOS, nowNanos);
    }

    /**
     * Gets the number of running and waiting calls, as far as the statement of the endpoint is recent.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return the number, 0 if the statement is old
     */
    public int getRecentCalls(long nowNanos) {
        return nowNanos - countsNanos < COUNTS_NANOS ? running + waiting : 0;
    }

    /** Gets the number of waiting calls that the endpoint last stated, 0 if it stated none. */
    int getWaiting() {
        return waiting;
    }

    private static double freshness(long statedNanos, long lifetimeNanos, long nowNanos) {
        return Math.max(0, 1 - (nowNanos - statedNanos) / (double) lifetimeNanos);
    }
}
