package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.Iterator;
import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

/**
 * The waiting pieces of one service, and which of them go into a batch.
 *
 * <p>Answers the load of many small requests on few endpoints whose calls cost far more than their pieces. The
 * earliest due goes first, with a lead for each rank, so that a less urgent piece waits longer but not for ever.
 * Pieces that miss their due time whatever is done go after all that can still make it. A piece goes to another
 * availability zone than the one that wants its result only after a wait that grows with the bytes that cross,
 * unless enough wait to fill a call: a call that is not full costs more than the crossing.
 *
 * <p>Confined to the decision loop.
 */
final class PieceQueue {
    /** How much later the next rank counts as due; about half a call of a stage. */
    private static final long RANK_LEAD_NANOS = 150_000_000L;
    /** How much later a piece counts as due that cannot make its due time; more than any objective's spread. */
    private static final long MISSED_DUE_DELAY_NANOS = 10_000_000_000L;
    /** The longest wait before a piece goes to another availability zone; about half a call of a stage. */
    private static final long MAX_CROSS_ZONE_WAIT_NANOS = 100_000_000L;
    /** The wait for each kilobyte that would cross, so that 500 kB wait as long as is allowed at most. */
    private static final long CROSS_ZONE_WAIT_NANOS_PER_KB = 200_000L;

    private final List<PieceTask> queued = new ArrayList<>();

    /**
     * What an endpoint offers to a batch.
     *
     * @param endpoint the endpoint's name
     * @param zone its availability zone
     * @param batch the greatest number of pieces
     * @param spaceBytes the space that is left for results, in bytes
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

    /** Removes and returns the pieces for one call, the most urgent first; empty if none should go there now. */
    List<PieceTask> take(Offer offer, long now, Predicate<String> isZoneServed, Collection<String> usableEndpoints) {
        record Candidate(PieceTask task, long sortKey) {}
        List<Candidate> candidates = new ArrayList<>();
        boolean fillsBatch = queued.size() >= offer.batchSize();
        for (PieceTask task : queued) {
            if (!task.failedEndpoints.contains(offer.endpoint()) || task.failedEndpoints.containsAll(usableEndpoints)) {
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

    /** Removes every piece that matches and hands it on. */
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

    /** Counts the waiting pieces of each rank. */
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
        long sortKey = terms.dueNanos() + terms.rank() * RANK_LEAD_NANOS;
        return completionNanos > terms.dueNanos() ? sortKey + MISSED_DUE_DELAY_NANOS : sortKey;
    }

    private static long crossZoneWait(PieceTask task, String zone, Predicate<String> isZoneServed) {
        PieceTerms terms = task.order.terms();
        if (terms.zone().isEmpty() || terms.zone().equals(zone) || !isZoneServed.test(terms.zone())) {
            return 0;
        }
        return Math.min(MAX_CROSS_ZONE_WAIT_NANOS, terms.crossingBytes() / 1_000 * CROSS_ZONE_WAIT_NANOS_PER_KB);
    }
}
