package org.fuchsiawharf.core.retry;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.fuchsiawharf.core.time.Clock;

/**
 * Allows repeats so that all instances together stay within one budget for each service.
 *
 * <p>The budget of a sliding window is a share of the requests in it and a fixed allowance. Every instance counts
 * the share of its own requests and takes an equal part of the allowance, so that the sum holds without a message.
 * An instance that leaves frees its part a window later, since its repeats still count until then.
 *
 * <p>Confined to the decision loop.
 */
public final class SharedRetryBudget {
    /** The part of the budget that is used; the rest covers instances that restart and count anew. */
    private static final double USED_SHARE = 0.7;

    private final double ratio;
    private final double allowance;
    private final long windowNanos;
    private final IntSupplier instances;
    private final Clock clock;
    private final Map<String, Window> requests = new HashMap<>();
    private final Map<String, Window> repeats = new HashMap<>();
    private final Window sizes = new Window();

    /**
     * Creates a budget.
     *
     * @param ratio the repeats that one request allows
     * @param allowance the repeats in a window that all instances may make beside
     * @param windowNanos the length of the window, in nanoseconds
     * @param instances gets the number of live instances, this one included, not null
     * @param clock the clock, not null
     */
    public SharedRetryBudget(double ratio, double allowance, long windowNanos, IntSupplier instances, Clock clock) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowNanos = windowNanos;
        this.instances = instances;
        this.clock = clock;
    }

    /**
     * Counts a first request.
     *
     * @param service the service that it goes to, not null
     */
    public void onRequest(String service) {
        requests.computeIfAbsent(service, s -> new Window()).add(clock.nanos(), 1);
    }

    /**
     * Takes one repeat.
     *
     * @param service the service that it goes to, not null
     * @return false if the budget does not allow it now
     */
    public boolean tryRepeat(String service) {
        long now = clock.nanos();
        sizes.add(now, Math.max(1, instances.getAsInt()));
        double earned =
                ratio * requests.computeIfAbsent(service, s -> new Window()).sum(now);
        Window used = repeats.computeIfAbsent(service, s -> new Window());
        if (used.sum(now) + 1 > USED_SHARE * (earned + allowance / sizes.max(now))) {
            return false;
        }
        used.add(now, 1);
        return true;
    }

    /** The amounts of one sliding window, merged by tenths of the window so that it stays small. */
    private final class Window {
        private final ArrayDeque<long[]> entries = new ArrayDeque<>();

        private void add(long now, long amount) {
            drop(now);
            long tenth = now / (windowNanos / 10);
            long[] last = entries.peekLast();
            if (last != null && last[0] == tenth) {
                last[1] += amount;
                last[2] = Math.max(last[2], amount);
            } else {
                entries.add(new long[] {tenth, amount, amount});
            }
        }

        private long sum(long now) {
            drop(now);
            return entries.stream().mapToLong(e -> e[1]).sum();
        }

        private long max(long now) {
            drop(now);
            return entries.stream().mapToLong(e -> e[2]).max().orElse(1);
        }

        // An entry leaves only once its whole tenth lies outside, so that the sum is never too small.
        private void drop(long now) {
            long first = (now - windowNanos) / (windowNanos / 10);
            while (!entries.isEmpty() && entries.peekFirst()[0] < first) {
                entries.removeFirst();
            }
        }
    }
}
