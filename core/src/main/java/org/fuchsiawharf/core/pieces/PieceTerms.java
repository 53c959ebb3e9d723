package org.fuchsiawharf.core.pieces;

/**
 * The urgency of a piece, its sizes and the availability zone of its result.
 *
 * <p>Immutable and thread-safe.
 *
 * @param rank the priority rank of the request, 0 is the most urgent
 * @param zone the availability zone in which the result is needed, empty for any
 * @param resultBytes the approximate size of the result, in bytes
 * @param inputBytes the approximate size of the inputs, in bytes
 * @param dueNanos the time by which the result is needed to meet the latency objective, in nanoseconds
 * @param deadlineNanos the time after which the result is useless, in nanoseconds
 */
public record PieceTerms(int rank, String zone, long resultBytes, long inputBytes, long dueNanos, long deadlineNanos) {
    /** Maximum wait before a piece is sent to another availability zone; about half a stage call. */
    private static final long MAX_CROSS_ZONE_WAIT_NANOS = 100_000_000L;
    /** Wait for each kilobyte to transfer between zones; 500 kB reach the maximum wait. */
    private static final long CROSS_ZONE_WAIT_NANOS_PER_KB = 200_000L;

    /**
     * Gets the size of the data to transfer if the piece is produced in another availability zone.
     *
     * @return the size of inputs and result, in bytes
     */
    public long crossZoneBytes() {
        return resultBytes + inputBytes;
    }

    /**
     * Gets the wait that is preferred to the transfer to another availability zone.
     *
     * @return the wait, in nanoseconds
     */
    public long crossZoneWaitNanos() {
        return crossZoneWaitNanos(crossZoneBytes());
    }

    /**
     * Gets the wait that is preferred to a transfer of data to another availability zone.
     *
     * @param bytes the size of the data, in bytes
     * @return the wait, in nanoseconds
     */
    public static long crossZoneWaitNanos(long bytes) {
        return Math.min(MAX_CROSS_ZONE_WAIT_NANOS, bytes / 1_000 * CROSS_ZONE_WAIT_NANOS_PER_KB);
    }
}
