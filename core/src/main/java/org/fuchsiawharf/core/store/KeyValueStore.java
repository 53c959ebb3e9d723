package org.fuchsiawharf.core.store;

import org.fuchsiawharf.core.model.Payload;

/**
 * The key-value service of the platform.
 *
 * <p>Calls block until the service responds or the call times out. Callers use threads of their own, never the
 * decision loop. Faults of the service are reported in the result, not as exceptions. Implementations are
 * thread-safe.
 */
public interface KeyValueStore {
    /** The version of a key that has no value. */
    long ABSENT = 0;

    /**
     * Reads a value.
     *
     * @param key the key, not null
     * @return the result of the read, never null
     */
    ReadResult read(String key);

    /**
     * Reads a value, blocking until its version differs from a known version or the wait ends.
     *
     * @param key the key, not null
     * @param knownVersion the version known to the caller
     * @param waitMillis the maximum time to wait for another version, in milliseconds
     * @return the result of the read, with the known version if the value did not change; never null
     */
    ReadResult watch(String key, long knownVersion, long waitMillis);

    /**
     * Writes a value if the current value has the expected version.
     *
     * @param key the key, not null
     * @param expectedVersion the expected version, {@link #ABSENT} if the key must have no value
     * @param value the value to write, not null
     * @return the result of the write, never null
     */
    WriteResult compareAndSet(String key, long expectedVersion, Payload value);
}
