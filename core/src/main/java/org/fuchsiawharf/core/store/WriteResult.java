package org.fuchsiawharf.core.store;

/**
 * The result of a write to the key-value service.
 *
 * <p>Immutable and thread-safe.
 */
public enum WriteResult {
    /** The write took effect. */
    DONE,
    /** The write did not take effect: the current value has another version. */
    CONFLICT,
    /** The response was lost: the write may have taken effect. */
    UNKNOWN,
    /** The write did not take effect: it was rejected or never sent. */
    UNAVAILABLE
}
