package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.jspecify.annotations.Nullable;

/**
 * A request to produce one piece of a stage.
 *
 * <p>A piece of a stage without preceding stages has a key and no inputs; any other piece has inputs and no key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the piece
 * @param key the key that the caller gave to the pieces of its request, null if the piece has inputs
 * @param inputs the handles of the results from which the piece is produced
 * @param terms the urgency, sizes and zone of the piece
 */
public record PieceOrder(PieceId id, @Nullable String key, List<String> inputs, PieceTerms terms) {
    /** Copies the list. */
    public PieceOrder {
        inputs = List.copyOf(inputs);
    }
}
