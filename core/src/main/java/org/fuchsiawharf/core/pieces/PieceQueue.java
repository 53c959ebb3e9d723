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
    private static final long MISSED_DELAY_NANOS = 10_000_000_000L;
    /** The longest wait before a piece goes to another availability zone; about half a call of a stage. */
    private static final long MAX_CROSSING_WAIT_NANOS = 100_000_000L;
    /** The wait for each kilobyte that would cross, so that 500 kB wait as long as is allowed at most. */
    private static final long CROSSING_WAIT_NANOS_PER_KB = 200_000L;

    private final List<PieceTask> waiting = new ArrayList<>();

    /**
     * What an endpoint offers to a batch.
     *
     * @param endpoint the endpoint's name
     * @param zone its availability zone
     * @param batch the greatest number of pieces
     * @param spaceBytes the space that is left for results, in bytes
     * @param callNanos the expected time of a call, in nanoseconds
     */
    record Offer(String endpoint, String zone, int batch, long spaceBytes, long callNanos) {}

    void add(PieceTask task) {
        waiting.add(task);
    }

    boolean isEmpty() {
        return waiting.isEmpty();
    }

    int size() {
        return waiting.size();
    }

    /** Removes and returns the pieces for one call, the most urgent first; empty if none should go there now. */
    List<PieceTask> take(Offer offer, long now, Predicate<String> zoneServed, Collection<String> usable) {
        record Candidate(PieceTask task, long key) {}
        List<Candidate> candidates = new ArrayList<>();
        boolean crowded = waiting.size() >= offer.batch();
        for (PieceTask task : waiting) {
            if (!task.avoid.contains(offer.endpoint()) || task.avoid.containsAll(usable)) {
                long wait = crossingWait(task, offer.zone(), zoneServed);
                if (crowded || now - task.queuedNanos >= wait) {
                    candidates.add(new Candidate(task, key(task, now + offer.callNanos()) + wait));
                }
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::key));
        List<PieceTask> batch = new ArrayList<>();
        long space = offer.spaceBytes();
        for (Candidate candidate : candidates) {
            long bytes = candidate.task().order.terms().resultBytes();
            if (batch.size() < offer.batch() && bytes <= space) {
                batch.add(candidate.task());
                space -= bytes;
            }
        }
        waiting.removeAll(batch);
        return batch;
    }

    /** Removes every piece that matches and hands it on. */
    void removeIf(Predicate<PieceTask> condition, Consumer<PieceTask> then) {
        List<PieceTask> removed = new ArrayList<>();
        for (Iterator<PieceTask> i = waiting.iterator(); i.hasNext(); ) {
            PieceTask task = i.next();
            if (condition.test(task)) {
                i.remove();
                removed.add(task);
            }
        }
        removed.forEach(then);
    }

    /** Counts the waiting pieces of each rank. */
    List<Integer> countByRank() {
        Integer[] counts = {0, 0, 0, 0, 0, 0};
        for (PieceTask task : waiting) {
            counts[
                    Math.min(
                            StageBacklog.RANKS - 1,
                            Math.max(0, task.order.terms().rank()))]++;
        }
        return List.of(counts);
    }

    private static long key(PieceTask task, long doneNanos) {
        PieceTerms terms = task.order.terms();
        long key = terms.dueNanos() + terms.rank() * RANK_LEAD_NANOS;
        return doneNanos > terms.dueNanos() ? key + MISSED_DELAY_NANOS : key;
    }

    private static long crossingWait(PieceTask task, String zone, Predicate<String> zoneServed) {
        PieceTerms terms = task.order.terms();
        if (terms.zone().isEmpty() || terms.zone().equals(zone) || !zoneServed.test(terms.zone())) {
            return 0;
        }
        return Math.min(MAX_CROSSING_WAIT_NANOS, terms.crossingBytes() / 1_000 * CROSSING_WAIT_NANOS_PER_KB);
    }
}
