package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * How each endpoint of a stage service works on pieces.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the number of calls in progress at once
 * @param queue the number of calls that may wait
 * @param batch the greatest number of pieces a call
 * @param callMillis the time of a call beside its pieces, in milliseconds
 * @param itemMillis the approximate time of a piece, in milliseconds
 * @param resultSpaceMb the space for results, in megabytes
 * @param resultTtlMillis how long a result is kept after its call, in milliseconds
 */
public record PieceService(
        int slots,
        int queue,
        int batch,
        double callMillis,
        double itemMillis,
        double resultSpaceMb,
        long resultTtlMillis) {
    /** Checks the bounds. */
    public PieceService {
        Arguments.between(slots, 1, Integer.MAX_VALUE, "slots");
        Arguments.between(batch, 1, Integer.MAX_VALUE, "batch");
        Arguments.between(callMillis, 0, Double.MAX_VALUE, "callMillis");
        Arguments.between(itemMillis, 0, Double.MAX_VALUE, "itemMillis");
    }

    /**
     * Gets the expected time of a call.
     *
     * @param pieces the number of its pieces
     * @return milliseconds
     */
    public double callMillisFor(int pieces) {
        return callMillis + pieces * itemMillis;
    }

    /**
     * Gets the most that one endpoint works off with full batches.
     *
     * @return pieces a millisecond
     */
    public double piecesPerMilli() {
        return slots * batch / Math.max(1.0, callMillisFor(batch));
    }
}
