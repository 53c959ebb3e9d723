package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * Queues the pieces of one service and selects those of the next batch.
 *
 * <p>A call costs far more than each of its pieces, so that many small requests on few endpoints have to share calls.
 * Pieces are ordered by due time. Each rank adds a fixed delay, so that less urgent pieces wait longer but are not
 * starved. Pieces that cannot meet their due time follow all that still can. A piece is sent to an availability zone
 * other than that of its result only after a wait that grows with the bytes to transfer, unless enough pieces are
 * queued to fill a batch: a call with a partial batch costs more than the transfer.
 *
 * <p>Confined to the decision loop.
 */
final class PieceQueue {
    /** Delay that each rank adds to the due time; about half a stage call. */
    private static final long RANK_DELAY_NANOS = 150_000_000L;
    /** Delay added if a piece cannot meet its due time; exceeds the spread of all latency objectives. */
    private static final long MISSED_DUE_DELAY_NANOS = 10_000_000_000L;
    /** Maximum wait before a piece is sent to another availability zone; about half a stage call. */
    private static final long MAX_CROSS_ZONE_WAIT_NANOS = 100_000_000L;
    /** Wait for each kilobyte to transfer between zones; 500 kB reach the maximum wait. */
    private static final long CROSS_ZONE_WAIT_NANOS_PER_KB = 200_000L;

    private final List<PieceTask> queued = new ArrayList<>();

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

    void add(PieceTask task) {
        queued.add(task);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    int size() {
        return queued.size();
    }

    /** Removes and returns the pieces of the next batch, the most urgent first; empty if none should be sent now. */
    List<PieceTask> take(Offer offer, long now, Predicate<String> isZoneServed, Collection<String> usableEndpoints) {
        record Candidate(PieceTask task, long sortKey) {}
        List<Candidate> candidates = new ArrayList<>();
        boolean fillsBatch = queued.size() >= offer.batchSize();
        for (PieceTask task : queued) {
            if (isAllowed(task, offer, usableEndpoints)) {
                long wait = crossZoneWait(task, offer.zone(), isZoneServed);
                if (fillsBatch || now - task.queuedNanos >= wait) {
                    candidates.add(new Candidate(task, sortKey(task, now + offer.callNanos()) + wait));
                }
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::sortKey));
        List<PieceTask> batch = new ArrayList<>();
        long remainingBytes = offer.spaceBytes();
        for (Candidate candidate : candidates) {
            long bytes = candidate.task().order.terms().resultBytes();
            if (batch.size() < offer.batchSize() && bytes <= remainingBytes) {
                batch.add(candidate.task());
                remainingBytes -= bytes;
            }
        }
        queued.removeAll(batch);
        return batch;
    }

    private static boolean isAllowed(PieceTask task, Offer offer, Collection<String> usableEndpoints) {
        return !task.awaitsRetryBudget
                && (!task.failedEndpoints.contains(offer.endpoint())
                        || task.failedEndpoints.containsAll(usableEndpoints));
    }

    /** Lets the pieces that await the retry budget be sent again, the earliest due first, while it can be spent. */
    void grantRetries(BooleanSupplier trySpend) {
        List<PieceTask> awaiting = queued.stream()
                .filter(task -> task.awaitsRetryBudget)
                .sorted(Comparator.comparingLong(task -> task.order.terms().dueNanos()))
                .toList();
        for (PieceTask task : awaiting) {
            if (!trySpend.getAsBoolean()) {
                return;
            }
            task.awaitsRetryBudget = false;
        }
    }

    /** Removes all matching pieces, then passes each to an action. */
    void removeIf(Predicate<PieceTask> condition, Consumer<PieceTask> action) {
        List<PieceTask> removed = new ArrayList<>();
        for (Iterator<PieceTask> i = queued.iterator(); i.hasNext(); ) {
            PieceTask task = i.next();
            if (condition.test(task)) {
                i.remove();
                removed.add(task);
            }
        }
        removed.forEach(action);
    }

    /** Counts the queued pieces of each rank. */
    List<Integer> countByRank() {
        Integer[] counts = {0, 0, 0, 0, 0, 0};
        for (PieceTask task : queued) {
            counts[
                    Math.min(
                            StageBacklog.RANKS - 1,
                            Math.max(0, task.order.terms().rank()))]++;
        }
        return List.of(counts);
    }

    private static long sortKey(PieceTask task, long completionNanos) {
        PieceTerms terms = task.order.terms();
        long sortKey = terms.dueNanos() + terms.rank() * RANK_DELAY_NANOS;
        return completionNanos > terms.dueNanos() ? sortKey + MISSED_DUE_DELAY_NANOS : sortKey;
    }

    private static long crossZoneWait(PieceTask task, String zone, Predicate<String> isZoneServed) {
        PieceTerms terms = task.order.terms();
        if (terms.zone().isEmpty() || terms.zone().equals(zone) || !isZoneServed.test(terms.zone())) {
            return 0;
        }
        return Math.min(MAX_CROSS_ZONE_WAIT_NANOS, terms.crossZoneBytes() / 1_000 * CROSS_ZONE_WAIT_NANOS_PER_KB);
    }
}
