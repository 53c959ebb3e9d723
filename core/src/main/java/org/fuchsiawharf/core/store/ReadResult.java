package org.fuchsiawharf.core.store;

import org.fuchsiawharf.core.model.Payload;

/**
 * What a read found.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status whether there is an answer
 * @param version the value's version, {@link KeyValueStore#ABSENT} if there is none
 * @param value the value, {@link Payload#NULL} if there is none
 */
public record ReadResult(Status status, long version, Payload value) {
    /** Whether a read has an answer. */
    public enum Status {
        /** There is a value. */
        FOUND,
        /** There is no value. */
        ABSENT,
        /** There is no answer; nothing is known of the value. */
        UNAVAILABLE
    }

    /**
     * Creates the result of a value found.
     *
     * @param version its version
     * @param value the value, not null
     * @return the result, never null
     */
    public static ReadResult found(long version, Payload value) {
        return new ReadResult(Status.FOUND, version, value);
    }

    /**
     * Creates the result of no value.
     *
     * @return the result, never null
     */
    public static ReadResult absent() {
        return new ReadResult(Status.ABSENT, KeyValueStore.ABSENT, Payload.NULL);
    }

    /**
     * Creates the result of no answer.
     *
     * @return the result, never null
     */
    public static ReadResult unavailable() {
        return new ReadResult(Status.UNAVAILABLE, KeyValueStore.ABSENT, Payload.NULL);
    }

    /**
     * Tells whether there is a value.
     *
     * @return true if there is
     */
    public boolean isFound() {
        return status == Status.FOUND;
    }
}
