package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * Asks for one piece of a stage.
 *
 * <p>A piece of a stage that comes first has a key and no inputs; any other has inputs and no key. Immutable and
 * thread-safe.
 *
 * @param id the piece
 * @param key the key of the request's pieces, null if the piece has inputs
 * @param inputs the handles of the results that the piece is made of
 * @param terms how urgent the piece is and where its result is wanted
 */
public record PieceOrder(PieceId id, @Nullable String key, List<String> inputs, PieceTerms terms) {
    /** Copies the list. */
    public PieceOrder {
        inputs = List.copyOf(inputs);
    }
}
