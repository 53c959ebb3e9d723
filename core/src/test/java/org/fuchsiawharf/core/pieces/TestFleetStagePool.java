package org.fuchsiawharf.core.pieces;

import java.util.List;
import java.util.Objects;

import org.fuchsiawharf.core.pieces.PieceCalls.AnswerKind;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.RequestLimit;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

class TestFleetStagePool {
    private static final long LONG_DEADLINE_MILLIS = 60_000;

    @Test
    void batchesPiecesOfManyRequestsWhileEndpointIsBusy() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        fixture.submit("first", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.submit("second", 2, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.submit("third", 3, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.calls.last().answerProduced();
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().orders, hasSize(4));
    }

    @Test
    void reportsOneResultForEachPiece() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
        fixture.submit("r", 9, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        for (int i = 0; i < fixture.calls.sent.size(); i++) {
            fixture.calls.sent.get(i).answerProduced();
        }
        assertThat(fixture.results, hasSize(9));
        assertThat(fixture.results.stream().map(PieceResult::id).distinct().count(), is(9L));
        assertThat(fixture.count(PieceResult.Status.DONE), is(9L));
    }

    @Test
    void limitsCallsInProgressToSlotsOfEndpoint() {
        PoolFixture fixture = new PoolFixture(2, 100, "a");
        fixture.submit("r", 10, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.advance(100);
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void queuesPiecesWithoutResultSpaceUntilResultsAreFreed() {
        PoolFixture fixture = new PoolFixture(4, 3, "a");
        PieceTerms large = PoolFixture.termsOfSize(1_000_000);
        fixture.submit("r", 5, large);
        assertThat(fixture.calls.last().orders, hasSize(3));
        fixture.calls.last().answerProduced();
        fixture.advance(100);
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.pool.release(fixture.results.stream().map(PieceResult::handle).toList());
        fixture.advance(100);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().orders, hasSize(2));
    }

    @Test
    void countsSpaceAsFreeWhenResultsExpire() {
        PoolFixture fixture = new PoolFixture(4, 3, "a");
        PieceTerms large = PoolFixture.termsOfSize(1_000_000);
        fixture.submit("r", 4, large);
        fixture.calls.last().answerProduced();
        fixture.advance(4_200);
        assertThat(fixture.calls.sent, hasSize(2));
    }

    @Test
    void retriesWithoutLimitAfterNoSpaceAnswers() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        fixture.submit("r", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        for (int i = 0; i < 5; i++) {
            fixture.calls.last().answer(AnswerKind.NO_SPACE);
            assertThat(fixture.calls.sent, hasSize(i + 1));
            fixture.advance(400);
            assertThat(fixture.calls.sent, hasSize(i + 2));
        }
        assertThat(fixture.results, is(empty()));
    }

    @Test
    void assumesFullEndpointOnlyTemporarilyAfterNoSpaceAnswers() {
        PoolFixture fixture = new PoolFixture(4, 3, "a");
        PieceTerms large = PoolFixture.termsOfSize(1_000_000);
        fixture.submit("r", 3, large);
        fixture.calls.last().answer(AnswerKind.NO_SPACE);
        fixture.advance(400);
        assertThat(fixture.calls.last().orders, hasSize(1));
        fixture.calls.last().answerProduced();
        fixture.advance(1_000);
        fixture.calls.last().answerProduced();
        fixture.advance(1_100);
        fixture.calls.last().answerProduced();
        assertThat(fixture.count(PieceResult.Status.DONE), is(3L));
    }

    @Test
    void limitsBatchToReportedFreeSpace() {
        PoolFixture fixture = new PoolFixture(4, 3, "a");
        PieceTerms large = PoolFixture.termsOfSize(1_000_000);
        fixture.submit("r", 3, large);
        fixture.calls.last().answer(AnswerKind.NO_SPACE);
        assertThat(fixture.calls.freeSpaceRequests, hasSize(1));
        fixture.calls.freeSpaceRequests.get(0).accept(new PieceCalls.FreeSpace(1_200_000, 1_200_000));
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().orders, hasSize(1));
    }

    @Test
    void retriesSmallerBatchAfterDelayWhenReportedBoundsAreWide() {
        PoolFixture fixture = new PoolFixture(8, 0.8, "a");
        PieceTerms small = PoolFixture.termsOfSize(100_000);
        fixture.submit("r", 8, small);
        fixture.calls.last().answer(AnswerKind.NO_SPACE);
        fixture.calls.freeSpaceRequests.get(0).accept(new PieceCalls.FreeSpace(0, 1_000_000));
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.advance(300);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().orders.size(), is(lessThan(8)));
    }

    @Test
    void refreshesReportWhileForeignResultsTakeSpace() {
        PoolFixture fixture = new PoolFixture(4, 3, "a");
        PieceTerms large = PoolFixture.termsOfSize(1_000_000);
        fixture.submit("r", 3, large);
        fixture.calls.last().answer(AnswerKind.NO_SPACE);
        fixture.calls.freeSpaceRequests.get(0).accept(new PieceCalls.FreeSpace(0, 0));
        fixture.advance(300);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(fixture.calls.freeSpaceRequests, hasSize(2));
        fixture.calls.freeSpaceRequests.get(1).accept(new PieceCalls.FreeSpace(3_000_000, 3_000_000));
        assertThat(fixture.calls.last().orders, hasSize(3));
    }

    @Test
    void retriesPiecesOfLostCallAtAnotherEndpoint() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "a");
        fixture.submit("r", 2, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        String first = fixture.calls.last().endpoint.name();
        fixture.calls.last().fail(CallFailure.LOST);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().endpoint.name(), is(not(first)));
        fixture.calls.last().answerProduced();
        assertThat(fixture.count(PieceResult.Status.DONE), is(2L));
    }

    @Test
    void failsPieceAfterMaximumAttempts() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
        fixture.submit("r", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        for (int i = 0; i < 3; i++) {
            fixture.calls.last().answer(AnswerKind.ERROR);
        }
        assertThat(fixture.calls.sent, hasSize(3));
        assertThat(fixture.count(PieceResult.Status.FAILED), is(1L));
    }

    @Test
    void failsPieceWhenRetryBudgetIsExhausted() {
        PoolFixture fixture = new PoolFixture(1, 100, "a", "b");
        while (fixture.budget.trySpend(PoolFixture.SERVICE)) {
            assertThat(fixture.calls.sent, is(empty()));
        }
        fixture.submit("r", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.calls.last().answer(AnswerKind.ERROR);
        assertThat(fixture.count(PieceResult.Status.FAILED), is(1L));
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void retriesPiecesOfSlowCallAndKeepsFirstResult() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
        fixture.submit("r", 1, fixture.terms(5_000, LONG_DEADLINE_MILLIS));
        fixture.advance(800);
        assertThat(fixture.calls.sent, hasSize(2));
        fixture.calls.sent.get(0).answerProduced();
        fixture.calls.sent.get(1).answerProduced();
        assertThat(fixture.results, hasSize(1));
        fixture.advance(100);
        assertThat(fixture.calls.releasedHandles, hasSize(1));
    }

    @Test
    void keepsAPieceWithItsSlowCallIfNoRepeatIsAllowed() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
        while (fixture.budget.trySpend(PoolFixture.SERVICE)) {
            assertThat(fixture.calls.sent, is(empty()));
        }
        fixture.submit("r", 1, fixture.terms(5_000, LONG_DEADLINE_MILLIS));
        fixture.advance(800);
        fixture.calls.sent.get(0).answerProduced();
        assertThat(fixture.count(PieceResult.Status.DONE), is(1L));
    }

    @Test
    void piecesOfOwnerWithSmallShareOfAllowanceEarnRetries() {
        PoolFixture fixture = new PoolFixture(10, 100, "a", "b");
        while (fixture.budget.trySpend(PoolFixture.SERVICE)) {
            assertThat(fixture.calls.sent, is(empty()));
        }
        for (int i = 0; i < 10; i++) {
            fixture.submit("r" + i, 10, fixture.terms(5_000, LONG_DEADLINE_MILLIS));
        }
        fixture.calls.sent.get(0).fail(CallFailure.LOST);
        assertThat(fixture.count(PieceResult.Status.FAILED), is(0L));
    }

    @Test
    void pieceThatStaysWithItsSlowCallEndsWithIt() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
        while (fixture.budget.trySpend(PoolFixture.SERVICE)) {
            assertThat(fixture.calls.sent, is(empty()));
        }
        fixture.submit("r", 1, fixture.terms(5_000, LONG_DEADLINE_MILLIS));
        fixture.advance(800);
        fixture.calls.sent.get(0).fail(CallFailure.LOST);
        assertThat(fixture.count(PieceResult.Status.FAILED), is(1L));
    }

    @Test
    void dequeuesPieceWhenSlowCallAnswers() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        fixture.submit("r", 1, fixture.terms(5_000, LONG_DEADLINE_MILLIS));
        fixture.advance(800);
        fixture.calls.sent.get(0).answerProduced();
        fixture.advance(100);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(fixture.results, hasSize(1));
    }

    @Test
    void endsPieceAsLateWhenDeadlineCannotBeMet() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        fixture.submit("busy", 4, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.submit("r", 1, fixture.terms(100, 400));
        fixture.advance(300);
        fixture.calls.sent.get(0).answerProduced();
        assertThat(fixture.count(PieceResult.Status.LATE), is(1L));
    }

    @Test
    void dropsCancelledPiecesAndFreesTheirResults() {
        PoolFixture fixture = new PoolFixture(2, 100, "a");
        fixture.submit("r", 4, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.pool.cancel("r");
        fixture.calls.last().answerProduced();
        fixture.advance(100);
        assertThat(fixture.results, is(empty()));
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(fixture.calls.releasedHandles, hasSize(2));
    }

    @Test
    void sendsNoNewCallsToLeavingEndpoint() {
        PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
        fixture.submit("r", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        String leaving = fixture.calls.last().endpoint.name();
        fixture.calls.last().fail(CallFailure.LEAVING);
        fixture.submit("s", 4, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.submit("t", 4, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        List<String> later = fixture.calls.sent.stream()
                .skip(1)
                .map(call -> call.endpoint.name())
                .toList();
        assertThat(later, everyItem(not(equalTo(leaving))));
    }

    @Test
    void withdrawsPiecesWhenNoEndpointIsListed() {
        PoolFixture fixture = new PoolFixture(4, 100);
        fixture.submit("r", 2, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        assertThat(fixture.count(PieceResult.Status.WITHDRAWN), is(2L));
    }

    @Test
    void retriesRefusedPiecesWithoutCountingAttempts() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        fixture.submit("r", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        for (int i = 0; i < 5; i++) {
            fixture.calls.last().fail(CallFailure.REFUSED);
            fixture.advance(200);
        }
        fixture.calls.last().answerProduced();
        assertThat(fixture.results.stream().map(PieceResult::status).toList(), contains(PieceResult.Status.DONE));
    }

    @Test
    void pieceRefusedByFullEndpointDoesNotFailForLackOfRetryBudget() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        while (fixture.budget.trySpend(PoolFixture.SERVICE)) {
            assertThat(fixture.calls.sent, is(empty()));
        }
        fixture.submit("r", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        fixture.calls.last().fail(CallFailure.REFUSED);
        fixture.advance(5_000);
        assertThat(fixture.results, is(empty()));
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.advance(7_000);
        assertThat(fixture.calls.sent, hasSize(2));
        fixture.calls.last().answerProduced();
        assertThat(fixture.count(PieceResult.Status.DONE), is(1L));
    }

    @Test
    void callsReleasesAndReportsStayWithinRequestLimitOfEndpoint() {
        PoolFixture fixture = new PoolFixture(4, 100, "a");
        RequestLimit limit =
                Objects.requireNonNull(fixture.table.getEndpoint("e0")).getRequestLimit();
        limit.setShare(() -> 1_000 * PoolFixture.MILLI, 0);
        limit.onNamed(1, 0, 0);
        for (int i = 0; i < 100; i++) {
            fixture.submit("r" + i, 2, fixture.terms(20_000, LONG_DEADLINE_MILLIS));
            fixture.advance(100);
            if (!fixture.calls.sent.isEmpty() && !fixture.calls.last().isEnded()) {
                if (i % 20 < 10) {
                    fixture.calls.last().answerProduced();
                } else {
                    fixture.calls.last().answer(AnswerKind.NO_SPACE);
                }
            }
            fixture.pool.release(
                    fixture.results.stream().map(PieceResult::handle).toList());
        }
        int requests = fixture.calls.sent.size() + fixture.calls.releaseCalls + fixture.calls.freeSpaceRequests.size();
        assertThat(requests, is(both(greaterThan(5)).and(lessThan(12))));
    }

    @Test
    void countsQueuedPiecesByRank() {
        PoolFixture fixture = new PoolFixture(1, 100, "a");
        fixture.submit("busy", 1, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        PieceTerms low = new PieceTerms(
                2, "", 1, 0, LONG_DEADLINE_MILLIS * PoolFixture.MILLI, LONG_DEADLINE_MILLIS * PoolFixture.MILLI);
        fixture.submit("low", 3, low);
        fixture.submit("high", 2, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        StageBacklog backlog = fixture.pool.getBacklog();
        assertThat(backlog.queuedBefore(0), is(2));
        assertThat(backlog.queuedBefore(2), is(5));
        assertThat(backlog.idle(), is(0));
    }
}
