package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Predicate;

/**
 * States the decisions of a {@link PieceQueue} as a plain sort of all queued pieces for each batch.
 *
 * <p>Pieces are in the order in which they were added.
 *
 * <p>Confined to the test's thread.
 */
final class ReferencePieceQueue {
    private static final long MILLI = 1_000_000L;

    private final List<PieceTask> queued = new ArrayList<>();

    private record Candidate(PieceTask task, long sortKey) {}

    void add(PieceTask task) {
        queued.add(task);
    }

    List<PieceTask> take(
            PieceQueue.Offer offer, long now, Predicate<String> isZoneServed, Collection<String> usableEndpoints) {
        List<Candidate> candidates = new ArrayList<>();
        for (PieceTask task : queued) {
            boolean failedHere = task.failedEndpoints.contains(offer.endpoint());
            boolean allowed = !failedHere || task.failedEndpoints.containsAll(usableEndpoints);
            long wait = crossZoneWait(task.order.terms(), offer.zone(), isZoneServed);
            boolean waited = queued.size() >= offer.batchSize() || now - task.queuedNanos >= wait;
            if (!task.awaitsRetryBudget && allowed && waited) {
                candidates.add(new Candidate(task, sortKey(task.order.terms(), now + offer.callNanos()) + wait));
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

    List<PieceTask> removeIf(Predicate<PieceTask> condition) {
        List<PieceTask> removed = queued.stream().filter(condition).toList();
        queued.removeAll(removed);
        return removed;
    }

    List<Integer> countByRank() {
        Integer[] counts = {0, 0, 0, 0, 0, 0};
        for (PieceTask task : queued) {
            counts[Math.min(5, Math.max(0, task.order.terms().rank()))]++;
        }
        return List.of(counts);
    }

    private static long sortKey(PieceTerms terms, long completionNanos) {
        long sortKey = terms.dueNanos() + terms.rank() * 150 * MILLI;
        return completionNanos > terms.dueNanos() ? sortKey + 10_000 * MILLI : sortKey;
    }

    private static long crossZoneWait(PieceTerms terms, String zone, Predicate<String> isZoneServed) {
        if (terms.zone().isEmpty() || terms.zone().equals(zone) || !isZoneServed.test(terms.zone())) {
            return 0;
        }
        return Math.min(100 * MILLI, terms.crossZoneBytes() / 1_000 * 200_000);
    }
}
