package org.fuchsiawharf.core.pieces;

import org.fuchsiawharf.core.util.Arguments;

/**
 * What became of a piece.
 *
 * <p>Only a result that is done has a handle. Immutable and thread-safe.
 *
 * @param id the piece
 * @param status what became of it
 * @param handle names the result at its maker, empty unless done
 */
public record PieceResult(PieceId id, Status status, String handle) {
    /** What became of a piece. */
    public enum Status {
        /** It is made. */
        DONE,
        /** Its deadline passed first. */
        LATE,
        /** One of its inputs is gone. */
        INPUT_GONE,
        /** Endpoints failed at it as often as may be tried. */
        FAILED,
        /** It was given back unmade, because no endpoint is usable here or its pool stops. */
        WITHDRAWN
    }

    /** Checks that a handle stands exactly with a done piece. */
    public PieceResult {
        Arguments.notNull(handle, "handle");
        Arguments.between(handle.isEmpty() == (status != Status.DONE) ? 1 : 0, 1, 1, "handle beside " + status);
    }

    /**
     * Creates the result of a piece that is made.
     *
     * @param id the piece, not null
     * @param handle names the result, not empty
     * @return the result, never null
     */
    public static PieceResult done(PieceId id, String handle) {
        return new PieceResult(id, Status.DONE, handle);
    }

    /**
     * Creates the result of a piece that is not made.
     *
     * @param id the piece, not null
     * @param status why, not {@link Status#DONE}
     * @return the result, never null
     */
    public static PieceResult unmade(PieceId id, Status status) {
        return new PieceResult(id, status, "");
    }
}
