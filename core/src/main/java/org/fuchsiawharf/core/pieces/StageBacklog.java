package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.route.PieceService;

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

    /**
     * Adds the backlog of another pool of the same service.
     *
     * @param other the other backlog, not null
     * @return the sum, never null
     */
    public StageBacklog plus(StageBacklog other) {
        List<Integer> sums = new ArrayList<>();
        for (int i = 0; i < RANKS; i++) {
            sums.add(queuedByRank.get(i) + other.queuedByRank.get(i));
        }
        return new StageBacklog(sums, endpoints + other.endpoints, idle + other.idle);
    }

    /**
     * Estimates how long a new piece waits until its call starts.
     *
     * @param spec the capacity of each endpoint, not null
     * @param rank the priority rank of the piece
     * @return the waiting time in milliseconds, 0 if no endpoints are known
     */
    public double waitMillis(PieceService spec, int rank) {
        int queued = queuedBefore(rank);
        if (endpoints == 0 || (idle > 0 && queued == 0)) {
            return 0;
        }
        double residualMillis = spec.callMillisFor(spec.batch() / 2) / 2 / (endpoints * spec.slots());
        return residualMillis + queued / (spec.maxPiecesPerMilli() * endpoints);
    }
}
