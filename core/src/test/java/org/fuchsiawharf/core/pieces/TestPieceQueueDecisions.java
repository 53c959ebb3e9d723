package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.Set;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestPieceQueueDecisions {
    private static final long MILLI = 1_000_000L;
    private static final int STEPS = 2_000;
    private static final List<String> ENDPOINTS = List.of("e0", "e1", "e2");
    private static final List<String> ZONES = List.of("a", "b", "c", "");
    private static final long[] BYTES = {0, 500, 30_000, 99_999, 1_500_000};

    private final PieceQueue queue = new PieceQueue();
    private final ReferencePieceQueue reference = new ReferencePieceQueue();
    /** All pieces that were added to the queue, also those that have left it. */
    private final List<PieceTask> tasks = new ArrayList<>();

    private long now = 1_000 * MILLI;
    private int added;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void decidesLikeSortOfAllPieces(long seed) {
        Random random = new Random(seed);
        for (int step = 0; step < STEPS; step++) {
            now += random.nextInt(10) * MILLI;
            switch (random.nextInt(10)) {
                case 0, 1, 2, 3 -> addPieces(random);
                case 4, 5 -> takeBatch(random);
                case 6 -> expire();
                case 7 -> removeRequest(random);
                case 8 -> removePiece(random);
                default -> grantRetries(random.nextInt(4));
            }
            assertThat(queue.countByRank(), is(reference.countByRank()));
        }
    }

    private void addPieces(Random random) {
        int stage = random.nextInt(3);
        PieceTerms terms = new PieceTerms(
                random.nextInt(8) - 1,
                ZONES.get(random.nextInt(ZONES.size())),
                BYTES[random.nextInt(BYTES.length)],
                BYTES[random.nextInt(BYTES.length)],
                now + random.nextInt(20) * 50 * MILLI,
                now + random.nextInt(40) * 50 * MILLI);
        boolean refused = random.nextInt(8) == 0;
        List<String> failed = ENDPOINTS.subList(0, random.nextInt(4) == 0 ? 1 + random.nextInt(3) : 0);
        for (int i = 0; i < 1 + random.nextInt(6); i++) {
            PieceOrder order = PoolFixture.order("r" + added++, stage, terms);
            PieceTask task = task(order, refused, failed);
            tasks.add(task);
            queue.add(task);
            reference.add(task(order, refused, failed));
        }
    }

    private PieceTask task(PieceOrder order, boolean refused, List<String> failed) {
        PieceTask task = new PieceTask(order, result -> {}, now);
        task.awaitsRetryBudget = refused;
        task.failedEndpoints.addAll(failed);
        return task;
    }

    private void takeBatch(Random random) {
        PieceQueue.Offer offer = new PieceQueue.Offer(
                ENDPOINTS.get(random.nextInt(ENDPOINTS.size())),
                ZONES.get(random.nextInt(3)),
                1 + random.nextInt(30),
                random.nextInt(4) * 2_000_000L - 1_000,
                (random.nextInt(50) == 0 ? 100 : 200) * MILLI);
        Set<String> served = Set.copyOf(ZONES.subList(0, 1 + random.nextInt(3)));
        List<String> usable = ENDPOINTS.subList(0, 2 + random.nextInt(2));
        assertThat(
                ids(queue.take(offer, now, served::contains, usable)),
                is(ids(reference.take(offer, now, served::contains, usable))));
    }

    private void expire() {
        assertThat(
                ids(queue.removeExpired(now)),
                is(ids(reference.removeIf(task -> now > task.order.terms().deadlineNanos()))));
    }

    private void removePiece(Random random) {
        if (!tasks.isEmpty()) {
            PieceTask task = tasks.get(random.nextInt(tasks.size()));
            queue.remove(task);
            reference.removeIf(other -> other.order.id().equals(task.order.id()));
        }
    }

    private void removeRequest(Random random) {
        String request = "r" + (added - random.nextInt(100));
        List<PieceTask> removed = new ArrayList<>();
        queue.removeIf(task -> task.order.id().requestId().equals(request), removed::add);
        assertThat(
                ids(removed),
                is(ids(reference.removeIf(task -> task.order.id().requestId().equals(request)))));
    }

    private void grantRetries(int budget) {
        int[] left = {budget, budget};
        queue.grantRetries(() -> left[0]-- > 0);
        reference.grantRetries(() -> left[1]-- > 0);
        assertThat(left[0], is(left[1]));
    }

    private static List<String> ids(List<PieceTask> tasks) {
        return tasks.stream().map(task -> task.order.id().toString()).toList();
    }
}
