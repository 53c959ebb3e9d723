package org.fuchsiawharf.core.config;

/**
 * The result of the confirmation of a plan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the status of the confirmation
 * @param revision the revision that the plan created, 0 if none is known
 * @param detail a description of the result for the operator
 */
public record ConfirmResult(Status status, long revision, String detail) {
    /** The status of a confirmation. */
    public enum Status {
        /** The plan took effect, through this confirmation or an earlier one. */
        CONFIRMED,
        /** The plan was not applied: an item of the plan has changed since the plan was created. */
        CONFLICT,
        /** The plan was not applied: no plan has the id. */
        NO_PLAN,
        /** The plan was not applied: the key-value service is unavailable or too many writers conflict. */
        UNAVAILABLE,
        /** The write response was lost. Confirming again is safe and shows whether the plan took effect. */
        UNKNOWN
    }
}
