package org.fuchsiawharf.core.pieces;

/**
 * Hears what became of pieces.
 *
 * <p>Called on the decision loop.
 */
@FunctionalInterface
public interface PieceListener {
    /**
     * Takes in a result; called once for each piece that was not cancelled.
     *
     * @param result the result, not null
     */
    void onResult(PieceResult result);
}
