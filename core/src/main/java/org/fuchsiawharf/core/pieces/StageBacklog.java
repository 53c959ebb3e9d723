package org.fuchsiawharf.core.pieces;

import java.util.List;

/**
 * A snapshot of the queued pieces and endpoints of a pool.
 *
 * <p>Immutable and thread-safe.
 *
 * @param queuedByRank the number of queued pieces of each rank; the last entry includes all higher rank numbers
 * @param endpoints the number of usable endpoints
 * @param idle the number of usable endpoints with an idle slot
 */
public record StageBacklog(List<Integer> queuedByRank, int endpoints, int idle) {
    /** The number of ranks that are counted separately. */
    public static final int RANKS = 6;

    /** A backlog without pieces and endpoints. */
    public static final StageBacklog EMPTY = new StageBacklog(List.of(0, 0, 0, 0, 0, 0), 0, 0);

    /** Copies the list. */
    public StageBacklog {
        queuedByRank = List.copyOf(queuedByRank);
    }

    /**
     * Gets the number of queued pieces that precede a new piece.
     *
     * @param rank the rank of the new piece
     * @return the number of queued pieces of this rank or a more urgent one
     */
    public int queuedBefore(int rank) {
        int sum = 0;
        for (int i = 0; i <= Math.min(rank, queuedByRank.size() - 1); i++) {
            sum += queuedByRank.get(i);
        }
        return sum;
    }
}
