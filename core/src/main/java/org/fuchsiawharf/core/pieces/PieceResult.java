package org.fuchsiawharf.core.pieces;

import org.fuchsiawharf.core.util.Arguments;

/**
 * The result of a piece.
 *
 * <p>Only a result with the status {@link Status#DONE} has a handle.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the piece
 * @param status the outcome of the piece
 * @param handle the handle of the result at its producer, empty unless done
 */
public record PieceResult(PieceId id, Status status, String handle) {
    /** The outcome of a piece. */
    public enum Status {
        /** The piece was produced. */
        DONE,
        /** The deadline could not be met. */
        LATE,
        /** An input does not exist any more. */
        INPUT_GONE,
        /** All permitted attempts failed, or no owner is left to try. */
        FAILED,
        /** The pool returned the piece without a result, because it has no usable endpoint or stops. */
        WITHDRAWN
    }

    /** Checks that a handle exists if and only if the status is {@link Status#DONE}. */
    public PieceResult {
        Arguments.notNull(handle, "handle");
        Arguments.between(handle.isEmpty() == (status != Status.DONE) ? 1 : 0, 1, 1, "handle for status " + status);
    }

    /**
     * Creates the result of a piece that was produced.
     *
     * @param id the id of the piece, not null
     * @param handle the handle of the result, not empty
     * @return the result, never null
     */
    public static PieceResult done(PieceId id, String handle) {
        return new PieceResult(id, Status.DONE, handle);
    }

    /**
     * Creates the result of a piece that was not produced.
     *
     * @param id the id of the piece, not null
     * @param status the outcome, not {@link Status#DONE}
     * @return the result, never null
     */
    public static PieceResult notProduced(PieceId id, Status status) {
        return new PieceResult(id, status, "");
    }
}
