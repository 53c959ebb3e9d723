package org.fuchsiawharf.core.retry;

import java.util.Arrays;
import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.time.Clock;
import org.jspecify.annotations.Nullable;

/**
 * Determines after which time a call is hedged: a margin above a high quantile of the recent response times of its
 * service on this instance.
 *
 * <p>The quantile is the one that the share of hedges exceeds. With few samples it is the largest of them, and there is
 * no delay, hence no hedge, below a minimum number of samples. The samples of a service are bounded in number and age.
 * Confined to the decision loop.
 */
public final class HedgeDelay {
    /** Number of samples below which the largest one says little about slow calls. */
    static final int MIN_SAMPLES = 20;
    /** Number of samples that are kept; the highest quantile is still the second largest of them. */
    static final int MAX_SAMPLES = 128;
    /** Age up to which samples count; an instance with one call in two seconds has {@link #MAX_SAMPLES} in it. */
    static final long MAX_AGE_NANOS = 300_000_000_000L;

    /** Lower limit of the delay; the time of a hedge that must first connect. */
    private static final long MIN_DELAY_NANOS = 10_000_000L;
    /** Bounds of the quantile; a window of {@link #MAX_SAMPLES} shows no higher one. */
    private static final double MIN_QUANTILE = 0.9;

    private static final double MAX_QUANTILE = 0.99;
    /**
     * Ratio of the delay to the quantile. Most calls that exceed the quantile end shortly after it; hedges of them would
     * spend the budget without effect.
     */
    private static final double MARGIN = 1.25;

    private final Clock clock;
    private final double quantile;
    private final Map<String, Window> windows = new HashMap<>();

    /**
     * The delay of a hedge and what it is based on.
     *
     * @param delayNanos the time after which a call without a response is hedged, in nanoseconds
     * @param medianNanos the median response time, in nanoseconds
     * @param samples the number of response times
     */
    public record Estimate(long delayNanos, long medianNanos, int samples) {}

    /**
     * Creates an instance without samples.
     *
     * @param limits the share of hedges, which determines the quantile, not null
     * @param clock the clock, not null
     */
    public HedgeDelay(HedgeLimits limits, Clock clock) {
        this.clock = clock;
        this.quantile = Math.max(MIN_QUANTILE, Math.min(MAX_QUANTILE, 1 - limits.share()));
    }

    /**
     * Records the time of a call that was not a hedge: until its complete response, or until it was given up after its
     * delay. Without the latter, the samples would omit the slow calls that lost to hedges, and the delay would fall.
     *
     * @param service the called service, not null
     * @param nanos the time since the call was sent, in nanoseconds
     */
    public void onEnded(String service, long nanos) {
        windows.computeIfAbsent(service, s -> new Window()).add(nanos, clock.nanos());
    }

    /**
     * Gets the delay of the hedge of a new call.
     *
     * @param service the called service, not null
     * @return the delay, null if there are too few samples
     */
    public @Nullable Estimate estimate(String service) {
        Window window = windows.get(service);
        if (window == null) {
            return null;
        }
        long[] times = window.sortRecent(clock.nanos());
        if (times.length < MIN_SAMPLES) {
            return null;
        }
        int index = Math.min(times.length - 1, (int) (quantile * times.length));
        return new Estimate(
                Math.max(MIN_DELAY_NANOS, (long) (MARGIN * times[index])), times[times.length / 2], times.length);
    }

    /** The latest samples of one service, in a ring. */
    private static final class Window {
        private final long[] durations = new long[MAX_SAMPLES];
        private final long[] endedNanos = new long[MAX_SAMPLES];
        private int count;
        private int next;

        private void add(long nanos, long now) {
            durations[next] = nanos;
            endedNanos[next] = now;
            next = (next + 1) % MAX_SAMPLES;
            count = Math.min(MAX_SAMPLES, count + 1);
        }

        private long[] sortRecent(long now) {
            long[] recent = new long[count];
            int size = 0;
            for (int i = 0; i < count; i++) {
                if (now - endedNanos[i] <= MAX_AGE_NANOS) {
                    recent[size++] = durations[i];
                }
            }
            long[] sorted = Arrays.copyOf(recent, size);
            Arrays.sort(sorted);
            return sorted;
        }
    }
}
