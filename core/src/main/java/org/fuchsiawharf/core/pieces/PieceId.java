package org.fuchsiawharf.core.pieces;

/**
 * Identifies one piece of one stage of one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requestId the request's id
 * @param stage the stage's number, from 0
 * @param piece the piece's number within its stage, from 0
 */
public record PieceId(String requestId, int stage, int piece) {
    @Override
    public String toString() {
        return requestId + "/" + stage + "/" + piece;
    }
}
