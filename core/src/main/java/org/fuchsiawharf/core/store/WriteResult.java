package org.fuchsiawharf.core.store;

/**
 * What is known of a write.
 *
 * <p>Immutable and thread-safe.
 */
public enum WriteResult {
    /** The write took effect. */
    DONE,
    /** It did not: the present value has another version. */
    CONFLICT,
    /** Its answer was lost: it may have taken effect or not. */
    UNKNOWN,
    /** It did not: it was refused or never sent. */
    UNAVAILABLE
}
