package org.fuchsiawharf.core.pieces;

import java.util.List;

/**
 * How much waits in a pool, as of one moment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param queuedByRank the number of waiting pieces of each rank; the last entry counts all ranks from there on
 * @param endpoints the number of usable endpoints
 * @param idle the number of usable endpoints without a call
 */
public record StageBacklog(List<Integer> queuedByRank, int endpoints, int idle) {
    /** The number of ranks that are told apart. */
    public static final int RANKS = 6;

    /** Nothing is known to wait. */
    public static final StageBacklog EMPTY = new StageBacklog(List.of(0, 0, 0, 0, 0, 0), 0, 0);

    /** Copies the list. */
    public StageBacklog {
        queuedByRank = List.copyOf(queuedByRank);
    }

    /**
     * Gets the number of waiting pieces that go before a new one.
     *
     * @param rank the new piece's rank
     * @return the count of all pieces of this rank or before it
     */
    public int queuedBefore(int rank) {
        int sum = 0;
        for (int i = 0; i <= Math.min(rank, queuedByRank.size() - 1); i++) {
            sum += queuedByRank.get(i);
        }
        return sum;
    }
}
