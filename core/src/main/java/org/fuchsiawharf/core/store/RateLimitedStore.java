package org.fuchsiawharf.core.store;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.time.Clock;

/**
 * Limits the calls of one instance to its share of the rate of the key-value service.
 *
 * <p>At most one write per key is in flight. A call beyond the budget returns unavailable at once. Thread-safe.
 */
public final class RateLimitedStore implements KeyValueStore {
    private final KeyValueStore store;
    private final CallBudget budget;
    private final Map<String, ReentrantLock> writeLocks = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();
    private volatile boolean reachable = true;

    /**
     * Creates a store with a full call budget, which allows the calls of one second at once.
     *
     * @param store the store that receives the calls, not null
     * @param clock the clock that measures elapsed time, not null
     * @param ratePerSecond the calls allowed per second, at least 1
     */
    public RateLimitedStore(KeyValueStore store, Clock clock, double ratePerSecond) {
        this.store = store;
        this.budget = new CallBudget(clock, ratePerSecond);
    }

    /**
     * Gets the number of calls sent to the service.
     *
     * @return the count
     */
    public long getCallCount() {
        return calls.get();
    }

    /**
     * Checks whether the service responded to the last call.
     *
     * @return true if the service responded, or was not called yet
     */
    public boolean isReachable() {
        return reachable;
    }

    @Override
    public ReadResult read(String key) {
        return trySpend() ? recordReachability(store.read(key)) : ReadResult.unavailable();
    }

    @Override
    public ReadResult watch(String key, long knownVersion, long waitMillis) {
        return trySpend() ? recordReachability(store.watch(key, knownVersion, waitMillis)) : ReadResult.unavailable();
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
        if (!trySpend()) {
            return WriteResult.UNAVAILABLE;
        }
        ReentrantLock lock = writeLocks.computeIfAbsent(key, k -> new ReentrantLock());
        lock.lock();
        try {
            WriteResult result = store.compareAndSet(key, expectedVersion, value);
            reachable = result == WriteResult.DONE || result == WriteResult.CONFLICT;
            return result;
        } finally {
            lock.unlock();
            if (!lock.hasQueuedThreads()) {
                writeLocks.remove(key, lock);
            }
        }
    }

    private ReadResult recordReachability(ReadResult result) {
        reachable = result.status() != ReadResult.Status.UNAVAILABLE;
        return result;
    }

    private boolean trySpend() {
        boolean allowed = budget.trySpend();
        if (allowed) {
            calls.incrementAndGet();
        }
        return allowed;
    }
}
