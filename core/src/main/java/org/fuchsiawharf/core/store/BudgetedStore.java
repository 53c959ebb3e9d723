package org.fuchsiawharf.core.store;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;

import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.time.Clock;

/**
 * Keeps one instance's calls within its share of the service's rate, with one write in flight for each key.
 *
 * <p>A call beyond the budget is refused as unavailable at once. Thread-safe.
 */
public final class BudgetedStore implements KeyValueStore {
    private final KeyValueStore store;
    private final CallBudget budget;
    private final Map<String, ReentrantLock> writing = new ConcurrentHashMap<>();
    private final AtomicLong calls = new AtomicLong();
    private volatile boolean reachable = true;

    /**
     * Creates a store with a full budget of one second.
     *
     * @param store carries the calls out, not null
     * @param clock measures time, not null
     * @param perSecond the calls allowed a second
     */
    public BudgetedStore(KeyValueStore store, Clock clock, double perSecond) {
        this.store = store;
        this.budget = new CallBudget(clock, perSecond);
    }

    /**
     * Gets the number of calls made.
     *
     * @return the count
     */
    public long getCalls() {
        return calls.get();
    }

    /**
     * Tells whether the service answered the last call.
     *
     * @return false if it did not
     */
    public boolean isReachable() {
        return reachable;
    }

    @Override
    public ReadResult read(String key) {
        return trySpend() ? note(store.read(key)) : ReadResult.unavailable();
    }

    @Override
    public ReadResult watch(String key, long knownVersion, long waitMillis) {
        return trySpend() ? note(store.watch(key, knownVersion, waitMillis)) : ReadResult.unavailable();
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
        if (!trySpend()) {
            return WriteResult.UNAVAILABLE;
        }
        ReentrantLock lock = writing.computeIfAbsent(key, k -> new ReentrantLock());
        lock.lock();
        try {
            WriteResult result = store.compareAndSet(key, expectedVersion, value);
            reachable = result == WriteResult.DONE || result == WriteResult.CONFLICT;
            return result;
        } finally {
            lock.unlock();
            if (!lock.hasQueuedThreads()) {
                writing.remove(key, lock);
            }
        }
    }

    private ReadResult note(ReadResult result) {
        reachable = result.status() != ReadResult.Status.UNAVAILABLE;
        return result;
    }

    private boolean trySpend() {
        boolean may = budget.trySpend();
        if (may) {
            calls.incrementAndGet();
        }
        return may;
    }
}
