package org.fuchsiawharf.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.core.model.Payload;

/**
 * Keeps values in memory, for tests and stand-ins.
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
        long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(waitMillis);
        long left = waitMillis;
        while (read(key).version() == knownVersion && left > 0) {
            try {
                wait(left);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return read(key);
            }
            left = TimeUnit.NANOSECONDS.toMillis(end - System.nanoTime());
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
