package org.fuchsiawharf.core.store;

import org.fuchsiawharf.core.model.Payload;

/**
 * The result of a read from the key-value service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status whether the service responded, and whether the key has a value
 * @param version the version of the value, {@link KeyValueStore#ABSENT} if there is no value
 * @param value the value, {@link Payload#NULL} if there is no value
 */
public record ReadResult(Status status, long version, Payload value) {
    /** The status of a read. */
    public enum Status {
        /** The key has a value. */
        FOUND,
        /** The key has no value. */
        ABSENT,
        /** The service did not respond; the state of the key is unknown. */
        UNAVAILABLE
    }

    /**
     * Creates the result of a read that found a value.
     *
     * @param version the version of the value
     * @param value the value, not null
     * @return the result, never null
     */
    public static ReadResult found(long version, Payload value) {
        return new ReadResult(Status.FOUND, version, value);
    }

    /**
     * Creates the result of a read of a key without a value.
     *
     * @return the result, never null
     */
    public static ReadResult absent() {
        return new ReadResult(Status.ABSENT, KeyValueStore.ABSENT, Payload.NULL);
    }

    /**
     * Creates the result of a read without a response from the service.
     *
     * @return the result, never null
     */
    public static ReadResult unavailable() {
        return new ReadResult(Status.UNAVAILABLE, KeyValueStore.ABSENT, Payload.NULL);
    }

    /**
     * Checks whether the read found a value.
     *
     * @return true if the read found a value
     */
    public boolean isFound() {
        return status == Status.FOUND;
    }
}
