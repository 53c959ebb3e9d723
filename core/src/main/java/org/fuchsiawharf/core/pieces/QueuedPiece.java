package org.fuchsiawharf.core.pieces;

import java.util.Comparator;

/**
 * A piece in a {@link PieceQueue} with its position in the order of its group.
 *
 * <p>All orders are total: pieces that are otherwise equal are ordered by the sequence in which they were added. The
 * position changes only while the piece is in no ordered set.
 *
 * <p>Confined to the decision loop.
 */
final class QueuedPiece {
    /** Orders the pieces of a group, the first to be sent first. */
    static final Comparator<QueuedPiece> BY_URGENCY =
            Comparator.<QueuedPiece>comparingLong(piece -> piece.sortKey).thenComparingLong(piece -> piece.sequence);

    static final Comparator<QueuedPiece> BY_DUE_TIME =
            Comparator.comparingLong(QueuedPiece::getDueNanos).thenComparingLong(piece -> piece.sequence);

    static final Comparator<QueuedPiece> BY_DEADLINE =
            Comparator.comparingLong(QueuedPiece::getDeadlineNanos).thenComparingLong(piece -> piece.sequence);

    /** Delay that each rank adds to the due time; about half a stage call. */
    private static final long RANK_DELAY_NANOS = 150_000_000L;
    /** Delay added if a piece cannot meet its due time; exceeds the spread of all latency objectives. */
    private static final long MISSED_DUE_DELAY_NANOS = 10_000_000_000L;

    final PieceTask task;
    final PieceGroup group;
    final long sequence;
    private boolean missed;
    private long sortKey;

    QueuedPiece(PieceTask task, PieceGroup group, long sequence) {
        this.task = task;
        this.group = group;
        this.sequence = sequence;
        setMissed(false);
    }

    int getRank() {
        return task.order.terms().rank();
    }

    long getDueNanos() {
        return task.order.terms().dueNanos();
    }

    long getDeadlineNanos() {
        return task.order.terms().deadlineNanos();
    }

    long getSortKey() {
        return sortKey;
    }

    boolean isMissed() {
        return missed;
    }

    /** Sets whether the piece cannot meet its due time. */
    void setMissed(boolean missed) {
        this.missed = missed;
        this.sortKey = getDueNanos() + getRank() * RANK_DELAY_NANOS + (missed ? MISSED_DUE_DELAY_NANOS : 0);
    }
}
