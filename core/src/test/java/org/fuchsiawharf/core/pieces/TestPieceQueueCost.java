package org.fuchsiawharf.core.pieces;

import java.util.List;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TestPieceQueueCost {
    private static final long MILLI = 1_000_000L;
    private static final int BACKLOG = 1_200;
    private static final int BATCH = 86;
    private static final List<String> ENDPOINTS =
            IntStream.range(0, 11).mapToObj(i -> "e" + i).toList();

    private final AtomicLong visits = new AtomicLong();

    private static PieceQueue queueOf(int pieces) {
        PieceQueue queue = new PieceQueue();
        for (int i = 0; i < pieces; i++) {
            PieceTerms terms = new PieceTerms(i % 3, "other", 30_000, 0, (2_000 + i) * MILLI, 60_000 * MILLI);
            queue.add(new PieceTask(PoolFixture.order("r" + i / 6, i % 6, terms), result -> {}, 0));
        }
        return queue;
    }

    /** Offers an endpoint to a queue and counts how often the wait of a piece across zones is examined. */
    private void offer(PieceQueue queue, int call, long spaceBytes) {
        String endpoint = ENDPOINTS.get(call % ENDPOINTS.size());
        PieceQueue.Offer offer = new PieceQueue.Offer(endpoint, "own", BATCH, spaceBytes, 200 * MILLI);
        queue.take(offer, (1_000 + call) * MILLI, zone -> visits.incrementAndGet() > 0, ENDPOINTS);
    }

    private long countVisitsToDrain(int pieces) {
        PieceQueue queue = queueOf(pieces);
        visits.set(0);
        for (int call = 0; !queue.isEmpty(); call++) {
            offer(queue, call, 10_000_000);
        }
        return visits.get();
    }

    private long countVisitsWithoutSpace(int pieces) {
        PieceQueue queue = queueOf(pieces);
        visits.set(0);
        for (int call = 0; call < ENDPOINTS.size(); call++) {
            offer(queue, call, 1_000);
        }
        return visits.get();
    }

    private static double log2(int value) {
        return Math.log(value) / Math.log(2);
    }

    @Test
    void drainingBacklogDoesNotTakeWorkInProportionToItsSquare() {
        double maxGrowth = 2 * log2(2 * BACKLOG) / log2(BACKLOG);
        assertThat(
                (double) countVisitsToDrain(2 * BACKLOG), lessThanOrEqualTo(maxGrowth * countVisitsToDrain(BACKLOG)));
    }

    @Test
    void offersWithoutSpaceDoNotTakeWorkInProportionToBacklog() {
        double maxGrowth = log2(2 * BACKLOG) / log2(BACKLOG);
        assertThat(
                (double) countVisitsWithoutSpace(2 * BACKLOG),
                lessThanOrEqualTo(maxGrowth * countVisitsWithoutSpace(BACKLOG)));
    }
}
