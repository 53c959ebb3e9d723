package org.fuchsiawharf.core.route;

import java.util.List;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A stage of a pipeline, whose pieces are processed before the request itself is sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the name of the service that processes the pieces
 * @param after the numbers of the stages whose results the pieces need, ascending, not null
 * @param resultBytes the approximate size of one result, in bytes
 */
public record PieceStage(String service, List<Integer> after, long resultBytes) {
    /** Copies the list and validates the size. */
    public PieceStage {
        after = List.copyOf(after);
        Arguments.between(resultBytes, 0, Long.MAX_VALUE, "resultBytes");
    }
}
