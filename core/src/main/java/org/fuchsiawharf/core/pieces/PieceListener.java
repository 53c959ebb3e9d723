package org.fuchsiawharf.core.pieces;

/**
 * Receives the results of pieces.
 *
 * <p>Called on the decision loop.
 */
@FunctionalInterface
public interface PieceListener {
    /**
     * Called once with the result of each piece that was not cancelled.
     *
     * @param result the result, not null
     */
    void onResult(PieceResult result);
}
