package org.fuchsiawharf.core.pieces;

/**
 * How urgent a piece is, and where its result is wanted.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rank the request's rank, 0 first
 * @param zone the availability zone in which the result is wanted, empty if any will do
 * @param resultBytes the approximate size of the result, in bytes
 * @param inputBytes the approximate size of the inputs, in bytes
 * @param dueNanos when the piece should be done for the request to meet its objective
 * @param deadlineNanos when the result has no use any more
 */
public record PieceTerms(int rank, String zone, long resultBytes, long inputBytes, long dueNanos, long deadlineNanos) {

    /**
     * Gets what crosses between availability zones if the piece is made elsewhere.
     *
     * @return bytes
     */
    public long crossingBytes() {
        return resultBytes + inputBytes;
    }
}
