package org.fuchsiawharf.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.core.model.Payload;

/**
 * A key-value store in memory, for tests and simulations.
 *
 * <p>Thread-safe.
 */
public final class InMemoryStore implements KeyValueStore {
    private final Map<String, ReadResult> values = new HashMap<>();
    private long nextVersion = 1;

    /** Creates an empty store. */
    public InMemoryStore() {}

    @Override
    public synchronized ReadResult read(String key) {
        return values.getOrDefault(key, ReadResult.absent());
    }

    @Override
    public synchronized ReadResult watch(String key, long knownVersion, long waitMillis) {
        long deadlineNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        long remainingMillis = waitMillis;
        while (read(key).version() == knownVersion && remainingMillis > 0) {
            try {
                wait(remainingMillis);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return read(key);
            }
            remainingMillis = TimeUnit.NANOSECONDS.toMillis(deadlineNanos - System.nanoTime());
        }
        return read(key);
    }

    @Override
    public synchronized WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
        if (read(key).version() != expectedVersion) {
            return WriteResult.CONFLICT;
        }
        values.put(key, ReadResult.found(nextVersion++, value));
        notifyAll();
        return WriteResult.DONE;
    }
}
