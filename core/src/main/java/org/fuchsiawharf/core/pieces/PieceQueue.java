package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.TreeSet;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queues the pieces of one pool and selects those of the next batch.
 *
 * <p>A call costs far more than each of its pieces, so that many small requests on few endpoints have to share calls.
 * Pieces are ordered by due time. Each rank adds a fixed delay, so that less urgent pieces wait longer but are not
 * starved. Pieces that cannot meet their due time follow all that still can. A piece is sent to an availability zone
 * other than that of its result only after a wait that grows with the bytes to transfer, unless enough pieces are
 * queued to fill a batch: a call with a partial batch costs more than the transfer.
 *
 * <p>Each group of pieces that an offer treats alike is kept in order, so that a batch is merged from the heads of the
 * groups without a visit to the rest of the queue. A queued piece is not finished, is queued once, and either awaits
 * the retry budget or belongs to exactly one group. To add or remove a piece takes time logarithmic in the queue.
 *
 * <p>Confined to the decision loop.
 */
final class PieceQueue {
    private final Map<PieceTask, QueuedPiece> queued = new LinkedHashMap<>();
    private final Map<PieceGroup, TreeSet<QueuedPiece>> groups = new HashMap<>();
    /** The pieces in groups that can meet their due time. */
    private final TreeSet<QueuedPiece> onTime = new TreeSet<>(QueuedPiece.BY_DUE_TIME);
    /** The pieces in groups that cannot meet their due time. */
    private final TreeSet<QueuedPiece> missed = new TreeSet<>(QueuedPiece.BY_DUE_TIME);

    private final TreeSet<QueuedPiece> awaitingRetryBudget = new TreeSet<>(QueuedPiece.BY_DUE_TIME);
    private final TreeSet<QueuedPiece> byDeadline = new TreeSet<>(QueuedPiece.BY_DEADLINE);
    private final int[] countByRank = new int[StageBacklog.RANKS];
    /** The completion time of a call that starts now, as of the last offer; earlier due times are missed. */
    private long completionNanos = Long.MIN_VALUE;

    private long nextSequence;

    /**
     * The capacity that an endpoint offers for one batch.
     *
     * @param endpoint the endpoint's name
     * @param zone its availability zone
     * @param batchSize the maximum number of pieces
     * @param spaceBytes the free space for results, in bytes
     * @param callNanos the expected time of a call, in nanoseconds
     */
    record Offer(String endpoint, String zone, int batchSize, long spaceBytes, long callNanos) {}

    /**
     * Adds a piece that is not queued.
     *
     * @throws IllegalStateException if the piece is queued already
     */
    void add(PieceTask task) {
        QueuedPiece piece = new QueuedPiece(task, PieceGroup.of(task), nextSequence++);
        if (queued.putIfAbsent(task, piece) != null) {
            throw new IllegalStateException("piece is queued already: " + task.order.id());
        }
        byDeadline.add(piece);
        countByRank[rankIndex(piece)]++;
        if (task.awaitsRetryBudget) {
            awaitingRetryBudget.add(piece);
        } else {
            addToGroup(piece);
        }
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    int size() {
        return queued.size();
    }

    /** Removes and returns the pieces of the next batch, the most urgent first; empty if none should be sent now. */
    List<PieceTask> take(Offer offer, long now, Predicate<String> isZoneServed, Collection<String> usableEndpoints) {
        setCompletion(now + offer.callNanos());
        PriorityQueue<GroupCursor> cursors = new PriorityQueue<>(GroupCursor.BY_URGENCY);
        groups.forEach((group, pieces) -> {
            if (group.isAllowedAt(offer.endpoint(), usableEndpoints)) {
                cursors.add(new GroupCursor(pieces, group.crossZoneWaitNanos(offer.zone(), isZoneServed)));
            }
        });
        boolean fillsBatch = queued.size() >= offer.batchSize();
        List<PieceTask> batch = new ArrayList<>();
        long remainingBytes = offer.spaceBytes();
        while (batch.size() < offer.batchSize() && !cursors.isEmpty()) {
            GroupCursor cursor = cursors.remove();
            QueuedPiece piece = cursor.getHead();
            long bytes = piece.group.resultBytes();
            // The other pieces of the group exceed the free space too.
            if (bytes > remainingBytes) {
                continue;
            }
            if (fillsBatch || now - piece.task.queuedNanos >= cursor.getWaitNanos()) {
                batch.add(piece.task);
                remainingBytes -= bytes;
            }
            if (cursor.advance()) {
                cursors.add(cursor);
            }
        }
        batch.forEach(this::remove);
        return batch;
    }

    /** Lets the pieces that await the retry budget be sent again, the earliest due first, while it can be spent. */
    void grantRetries(BooleanSupplier trySpend) {
        while (!awaitingRetryBudget.isEmpty() && trySpend.getAsBoolean()) {
            QueuedPiece piece = awaitingRetryBudget.first();
            awaitingRetryBudget.remove(piece);
            piece.task.awaitsRetryBudget = false;
            addToGroup(piece);
        }
    }

    /** Removes a piece if it is queued. */
    void remove(PieceTask task) {
        QueuedPiece piece = queued.remove(task);
        if (piece == null) {
            return;
        }
        byDeadline.remove(piece);
        countByRank[rankIndex(piece)]--;
        if (!awaitingRetryBudget.remove(piece)) {
            removeFromGroup(piece);
        }
    }

    /** Removes and returns the pieces whose deadline is before the given time, in the order in which they were added. */
    List<PieceTask> removeExpired(long nanos) {
        List<QueuedPiece> expired = new ArrayList<>();
        while (!byDeadline.isEmpty() && byDeadline.first().getDeadlineNanos() < nanos) {
            QueuedPiece piece = byDeadline.first();
            expired.add(piece);
            remove(piece.task);
        }
        expired.sort(Comparator.comparingLong(piece -> piece.sequence));
        return expired.stream().map(piece -> piece.task).toList();
    }

    /** Removes all matching pieces, then passes each to an action; visits the whole queue. */
    void removeIf(Predicate<PieceTask> condition, Consumer<PieceTask> action) {
        List<PieceTask> removed = queued.keySet().stream().filter(condition).toList();
        removed.forEach(this::remove);
        removed.forEach(action);
    }

    /** Counts the queued pieces of each rank. */
    List<Integer> countByRank() {
        return Arrays.stream(countByRank).boxed().toList();
    }

    // -----------------------------------------------------------------------

    private void addToGroup(QueuedPiece piece) {
        piece.setMissed(piece.getDueNanos() < completionNanos);
        (piece.isMissed() ? missed : onTime).add(piece);
        groups.computeIfAbsent(piece.group, g -> new TreeSet<>(QueuedPiece.BY_URGENCY))
                .add(piece);
    }

    private void removeFromGroup(QueuedPiece piece) {
        (piece.isMissed() ? missed : onTime).remove(piece);
        TreeSet<QueuedPiece> pieces = groups.get(piece.group);
        if (pieces != null && pieces.remove(piece) && pieces.isEmpty()) {
            groups.remove(piece.group);
        }
    }

    // The completion time decreases only if a new configuration shortens the calls.
    private void setCompletion(long nanos) {
        completionNanos = nanos;
        while (!onTime.isEmpty() && onTime.first().getDueNanos() < nanos) {
            reorder(onTime.first());
        }
        while (!missed.isEmpty() && missed.last().getDueNanos() >= nanos) {
            reorder(missed.last());
        }
    }

    private void reorder(QueuedPiece piece) {
        removeFromGroup(piece);
        addToGroup(piece);
    }

    private static int rankIndex(QueuedPiece piece) {
        return Math.min(StageBacklog.RANKS - 1, Math.max(0, piece.getRank()));
    }
}
