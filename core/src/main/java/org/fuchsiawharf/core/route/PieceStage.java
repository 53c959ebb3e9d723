package org.fuchsiawharf.core.route;

import java.util.List;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A stage of a pipeline, made of pieces that are worked on before the request itself is sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service that works on the pieces
 * @param after the numbers of the stages whose results the pieces need, ascending
 * @param resultBytes the approximate size of one result, in bytes
 */
public record PieceStage(String service, List<Integer> after, long resultBytes) {
    /** Copies the list. */
    public PieceStage {
        after = List.copyOf(after);
        Arguments.between(resultBytes, 0, Long.MAX_VALUE, "resultBytes");
    }
}
