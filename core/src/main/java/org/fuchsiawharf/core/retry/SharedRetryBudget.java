package org.fuchsiawharf.core.retry;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.Map;
import java.util.function.IntSupplier;

import org.fuchsiawharf.core.time.Clock;

/**
 * Limits retries so that all instances together stay within one budget per service.
 *
 * <p>The budget of a sliding window is a share of the requests in the window plus a fixed allowance. Each instance uses
 * the share earned by its own requests and an equal part of the allowance, so that the total stays within the budget
 * without communication. The part of an instance that leaves becomes available one window later, because its retries
 * count until then.
 *
 * <p>Confined to the decision loop.
 */
public final class SharedRetryBudget {
    /** The usable part of the budget; the rest covers instances that restart with empty counters. */
    private static final double USABLE_SHARE = 0.7;

    private final double ratio;
    private final double allowance;
    private final long windowNanos;
    private final IntSupplier instanceCount;
    private final Clock clock;
    private final Map<String, Window> requests = new HashMap<>();
    private final Map<String, Window> retries = new HashMap<>();
    private final Window instanceCounts = new Window();
    private int largestInstanceCount = 1;

    /**
     * Creates a budget.
     *
     * @param ratio the number of retries earned by one request
     * @param allowance the number of retries per window allowed to all instances together in addition
     * @param windowNanos the length of the window, in nanoseconds
     * @param instanceCount the supplier of the number of live instances, including this one, not null
     * @param clock the clock, not null
     */
    public SharedRetryBudget(double ratio, double allowance, long windowNanos, IntSupplier instanceCount, Clock clock) {
        this.ratio = ratio;
        this.allowance = allowance;
        this.windowNanos = windowNanos;
        this.instanceCount = instanceCount;
        this.clock = clock;
    }

    /**
     * Records a first request.
     *
     * @param service the called service, not null
     */
    public void onRequest(String service) {
        largestInstanceCount = Math.max(largestInstanceCount, instanceCount.getAsInt());
        requests.computeIfAbsent(service, s -> new Window()).add(clock.nanos(), 1);
    }

    /**
     * Deducts one retry if the budget allows it.
     *
     * @param service the called service, not null
     * @return false if the budget is exhausted
     */
    public boolean trySpend(String service) {
        if (!canSpend(service)) {
            return false;
        }
        retries.computeIfAbsent(service, s -> new Window()).add(clock.nanos(), 1);
        return true;
    }

    /**
     * Deducts one retry if at least half of the budget remains; for extra calls that give way to retries. The part of the
     * allowance is that among the largest number of instances known since the start, so that instances that do not hear
     * each other do not use more than their equal parts.
     *
     * @param service the called service, not null
     * @return false if less than half of the budget would remain
     */
    public boolean trySpendOfFirstHalf(String service) {
        largestInstanceCount = Math.max(largestInstanceCount, instanceCount.getAsInt());
        return isWithin(service, largestInstanceCount, USABLE_SHARE / 2, clock.nanos()) && trySpend(service);
    }

    /**
     * Checks whether the budget allows one more retry.
     *
     * @param service the called service, not null
     * @return false if the budget is exhausted
     */
    public boolean canSpend(String service) {
        long now = clock.nanos();
        instanceCounts.add(now, Math.max(1, instanceCount.getAsInt()));
        return isWithin(service, instanceCounts.max(now), USABLE_SHARE, now);
    }

    private boolean isWithin(String service, long instances, double usableShare, long now) {
        double earned =
                ratio * requests.computeIfAbsent(service, s -> new Window()).sum(now);
        Window used = retries.computeIfAbsent(service, s -> new Window());
        return used.sum(now) + 1 <= usableShare * (earned + allowance / instances);
    }

    /** A sliding window of amounts, merged into buckets of a tenth of the window to bound its size. */
    private final class Window {
        private final ArrayDeque<long[]> buckets = new ArrayDeque<>();

        private void add(long now, long amount) {
            evictExpired(now);
            long bucket = now / (windowNanos / 10);
            long[] last = buckets.peekLast();
            if (last != null && last[0] == bucket) {
                last[1] += amount;
                last[2] = Math.max(last[2], amount);
            } else {
                buckets.add(new long[] {bucket, amount, amount});
            }
        }

        private long sum(long now) {
            evictExpired(now);
            return buckets.stream().mapToLong(e -> e[1]).sum();
        }

        private long max(long now) {
            evictExpired(now);
            return buckets.stream().mapToLong(e -> e[2]).max().orElse(1);
        }

        // Evicts a bucket only when all of it lies outside the window, so that the sum is never too low.
        private void evictExpired(long now) {
            long firstBucket = (now - windowNanos) / (windowNanos / 10);
            while (!buckets.isEmpty() && buckets.peekFirst()[0] < firstBucket) {
                buckets.removeFirst();
            }
        }
    }
}
