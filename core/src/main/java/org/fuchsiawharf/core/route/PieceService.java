package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * The capacity and timing of each endpoint of a stage service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param slots the maximum number of calls that an endpoint runs concurrently
 * @param queue the maximum number of calls that an endpoint queues
 * @param batch the maximum number of pieces per call
 * @param callMillis the fixed time of a call without its pieces, in milliseconds
 * @param itemMillis the approximate time that each piece adds to a call, in milliseconds
 * @param resultSpaceMb the memory for results, in megabytes
 * @param resultTtlMillis the time to live of a result after its call, in milliseconds
 */
public record PieceService(
        int slots,
        int queue,
        int batch,
        double callMillis,
        double itemMillis,
        double resultSpaceMb,
        long resultTtlMillis) {
    private static final double BYTES_PER_MB = 1e6;

    /** Validates the capacity and the times. */
    public PieceService {
        Arguments.between(slots, 1, Integer.MAX_VALUE, "slots");
        Arguments.between(batch, 1, Integer.MAX_VALUE, "batch");
        Arguments.between(callMillis, 0, Double.MAX_VALUE, "callMillis");
        Arguments.between(itemMillis, 0, Double.MAX_VALUE, "itemMillis");
    }

    /**
     * Gets the expected duration of a call.
     *
     * @param pieces the number of pieces in the call
     * @return the duration, in milliseconds
     */
    public double callMillisFor(int pieces) {
        return callMillis + pieces * itemMillis;
    }

    /**
     * Gets the memory for results.
     *
     * @return the memory of one endpoint, in bytes
     */
    public long resultSpaceBytes() {
        return (long) (resultSpaceMb * BYTES_PER_MB);
    }

    /**
     * Gets the maximum throughput of one endpoint, which it reaches with full batches.
     *
     * @return the throughput, in pieces per millisecond
     */
    public double maxPiecesPerMilli() {
        return slots * batch / Math.max(1.0, callMillisFor(batch));
    }
}
