package org.fuchsiawharf.core.pieces;

import java.util.List;

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

    /**
     * Called in place of {@link #onResult} with the results that one call to an endpoint produced for this listener.
     *
     * @param results the results, not null
     */
    default void onResults(List<PieceResult> results) {
        results.forEach(this::onResult);
    }

    /**
     * Checks whether the pieces belong to another instance, which submits them elsewhere if this one is silent.
     *
     * @return false unless overridden
     */
    default boolean isOfOtherInstance() {
        return false;
    }
}
