package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class TestPieceQueue {
    private static final long MILLI = 1_000_000L;
    private static final long FAR_DEADLINE_NANOS = 1_000_000 * MILLI;

    private final PieceQueue queue = new PieceQueue();

    private void add(String request, PieceTerms terms) {
        queue.add(new PieceTask(PoolFixture.order(request, 0, terms), result -> {}, 0));
    }

    private static PieceTerms terms(int rank, String zone, long bytes, long dueMillis) {
        return new PieceTerms(rank, zone, bytes, 0, dueMillis * MILLI, FAR_DEADLINE_NANOS);
    }

    private List<String> take(int batch, String zone, long nowMillis) {
        PieceQueue.Offer offer = new PieceQueue.Offer("e", zone, batch, 10_000_000, 200 * MILLI);
        return queue.take(offer, nowMillis * MILLI, z -> true, List.of("e", "other")).stream()
                .map(task -> task.order.id().requestId())
                .toList();
    }

    @Test
    void takesEarliestDuePieceFirst() {
        add("late", terms(0, "", 0, 3_000));
        add("early", terms(0, "", 0, 2_000));
        assertThat(take(1, "a", 0), contains("early"));
    }

    @Test
    void prefersUrgentRankWithoutStarvingLessUrgentPieces() {
        add("low", terms(1, "", 0, 2_000));
        add("high", terms(0, "", 0, 2_100));
        assertThat(take(1, "a", 0), contains("high"));
        add("later", terms(0, "", 0, 2_300));
        assertThat(take(1, "a", 0), contains("low"));
    }

    @Test
    void takesPiecesThatMissTheirDueTimeLast() {
        add("missed", terms(0, "", 0, 900));
        add("fine", terms(2, "", 0, 3_000));
        assertThat(take(1, "a", 1_000), contains("fine"));
        assertThat(take(1, "a", 1_000), contains("missed"));
    }

    @Test
    void delaysCrossZoneTransferOfLargeResults() {
        add("large", terms(0, "b", 1_500_000, 3_000));
        assertThat(take(2, "a", 90), is(empty()));
        assertThat(take(2, "a", 110), contains("large"));
    }

    @Test
    void fillsBatchAcrossZonesWhenEnoughPiecesAreQueued() {
        add("first", terms(0, "b", 1_500_000, 3_000));
        add("second", terms(0, "b", 1_500_000, 3_000));
        assertThat(take(2, "a", 1), contains("first", "second"));
    }

    @Test
    void takesSmallResultsOfOtherZonesWithoutDelay() {
        add("small", terms(0, "b", 500, 3_000));
        assertThat(take(1, "a", 1), contains("small"));
    }

    @Test
    void prefersPiecesWantedInEndpointZone() {
        add("foreign", terms(0, "b", 100_000, 1_990));
        add("own", terms(0, "a", 100_000, 2_000));
        assertThat(take(1, "a", 200), contains("own"));
    }

    @Test
    void skipsPiecesThatExceedFreeSpace() {
        add("huge", terms(0, "", 20_000_000, 1_000));
        add("fits", terms(0, "", 1_000, 2_000));
        assertThat(take(2, "a", 0), contains("fits"));
    }
}
