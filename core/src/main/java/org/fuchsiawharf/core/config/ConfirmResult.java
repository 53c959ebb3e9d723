package org.fuchsiawharf.core.config;

/**
 * What became of a confirmation.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status what became of it
 * @param revision the revision that the plan made, 0 if it made none
 * @param detail what happened, in words
 */
public record ConfirmResult(Status status, long revision, String detail) {
    /** What became of a confirmation. */
    public enum Status {
        /** The plan took effect, by this confirmation or an earlier one. */
        CONFIRMED,
        /** Nothing changed: an item that the plan touches was changed meanwhile. */
        CONFLICT,
        /** Nothing changed: no plan has the id. */
        NO_PLAN,
        /** Nothing changed: the key-value service can't be reached. */
        UNAVAILABLE,
        /** It is not known whether the plan took effect; confirming again is safe and tells. */
        UNKNOWN
    }
}
