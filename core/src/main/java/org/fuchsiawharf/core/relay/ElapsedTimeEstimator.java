package org.fuchsiawharf.core.relay;

import java.util.ArrayDeque;
import java.util.Deque;

import org.fuchsiawharf.core.time.Clock;

/**
 * Estimates how long ago a caller made its first attempt, from the deadline that it sends.
 *
 * <p>A caller that returns after a refusal sends the time left of its first deadline. If first deadlines are alike, the
 * difference from the longest one is the time that the caller has waited. If callers choose their deadlines themselves,
 * only a deadline that is shorter than first ones are shows a returning caller. Refused callers are therefore asked to
 * stay away for as long as first deadlines differ; how much they differ is learned while no caller is refused. First
 * deadlines count as alike while enough of the recent ones are close to the longest; a returning caller's never are.
 *
 * <p>Confined to the decision loop.
 */
final class ElapsedTimeEstimator {
    /** Number of recent attempts whose deadlines are remembered. */
    private static final int MAX_SAMPLES = 64;
    /** Number of attempts below which nothing is concluded from their deadlines. */
    private static final int MIN_SAMPLES = 6;
    /** Relative distance from the longest deadline up to which another one is close to it. */
    private static final double CLOSE = 0.0025;
    /** Share of close deadlines; even if every caller is refused once, half of the attempts are first ones. */
    private static final double MIN_CLOSE_SHARE = 0.35;
    /** Share of the first deadlines that may be shorter than the spread tells, so that single ones do not count. */
    private static final double SHORTEST_SHARE = 0.05;
    /** Time after a refusal in which attempts may be those of returning callers. */
    private static final long RETURN_NANOS = 6_000_000_000L;

    private final Clock clock;
    private final Deque<Long> recentDeadlines = new ArrayDeque<>();
    private final Deque<Long> firstDeadlines = new ArrayDeque<>();
    private long returningUntilNanos = Long.MIN_VALUE;

    ElapsedTimeEstimator(Clock clock) {
        this.clock = clock;
    }

    /**
     * Records the deadline of an attempt and estimates the time since the first attempt of its caller.
     *
     * @param deadlineMillis the deadline that the caller sent, in milliseconds; 0 if not specified
     * @param objectiveMillis the latency objective of the request, in milliseconds
     * @return the elapsed time, in milliseconds; 0 if the attempt may be the first
     */
    long estimateMillis(long deadlineMillis, long objectiveMillis) {
        if (deadlineMillis <= 0) {
            return 0;
        }
        addSample(recentDeadlines, deadlineMillis);
        if (clock.nanos() >= returningUntilNanos) {
            addSample(firstDeadlines, deadlineMillis);
        }
        long differenceMillis = getLongestMillis() - deadlineMillis;
        return differenceMillis >= getUnrecognizedMillis(objectiveMillis) ? differenceMillis : 0;
    }

    /** Records that a caller was refused, so that it may return. */
    void onRefused() {
        returningUntilNanos = clock.nanos() + RETURN_NANOS;
    }

    /**
     * Gets the time for which a refused caller has to stay away to be recognized when it returns: as long as first
     * deadlines differ, and at least the objective, since a caller that returns sooner could still be on time.
     *
     * @param objectiveMillis the latency objective of the request, in milliseconds
     * @return the time in milliseconds, 0 if every returning caller is recognized
     */
    long getUnrecognizedMillis(long objectiveMillis) {
        return areFirstDeadlinesAlike() ? 0 : Math.max(objectiveMillis, getSpreadMillis());
    }

    private boolean areFirstDeadlinesAlike() {
        double closeMillis = getLongestMillis() * (1 - CLOSE);
        long close = recentDeadlines.stream().filter(d -> d >= closeMillis).count();
        return recentDeadlines.size() >= MIN_SAMPLES && close >= MIN_CLOSE_SHARE * recentDeadlines.size();
    }

    private long getSpreadMillis() {
        if (firstDeadlines.size() < MIN_SAMPLES) {
            return 0;
        }
        long shortestMillis = firstDeadlines.stream()
                .sorted()
                .skip((long) (SHORTEST_SHARE * firstDeadlines.size()))
                .findFirst()
                .orElse(0L);
        return Math.max(0, getLongestMillis() - shortestMillis);
    }

    private long getLongestMillis() {
        return recentDeadlines.stream().mapToLong(d -> d).max().orElse(0);
    }

    private static void addSample(Deque<Long> samples, long deadlineMillis) {
        samples.addLast(deadlineMillis);
        if (samples.size() > MAX_SAMPLES) {
            samples.removeFirst();
        }
    }
}
