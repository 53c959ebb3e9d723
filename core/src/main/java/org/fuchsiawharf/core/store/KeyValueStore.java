package org.fuchsiawharf.core.store;

import org.fuchsiawharf.core.model.Payload;

/**
 * The platform's key-value service.
 *
 * <p>Calls block until their answer is known or given up; they are made on threads of their own, never on the
 * decision loop. No call throws for a fault of the service: the result says what is known. Implementations are
 * thread-safe.
 */
public interface KeyValueStore {
    /** The version that stands for a key without a value. */
    long ABSENT = 0;

    /**
     * Reads a value.
     *
     * @param key the key, not null
     * @return what was read, never null
     */
    ReadResult read(String key);

    /**
     * Reads a value once it differs from a known one.
     *
     * @param key the key, not null
     * @param knownVersion the version that is known
     * @param waitMillis how long to wait for another, in milliseconds
     * @return what was read, of the same version if nothing changed meanwhile; never null
     */
    ReadResult watch(String key, long knownVersion, long waitMillis);

    /**
     * Writes a value if the present one has the expected version.
     *
     * @param key the key, not null
     * @param expectedVersion the expected version, {@link #ABSENT} if there should be no value
     * @param value the value, not null
     * @return what is known of the write, never null
     */
    WriteResult compareAndSet(String key, long expectedVersion, Payload value);
}
