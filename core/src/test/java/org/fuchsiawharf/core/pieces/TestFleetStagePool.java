package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.fuchsiawharf.core.pieces.PieceCalls.AnswerKind;
import org.fuchsiawharf.core.port.CallFailure;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

class TestFleetStagePool {
    private static final long LONG = 60_000;

    @Test
    void fillsABatchFromManyRequestsWhileTheEndpointIsBusy() {
        PoolWorld world = new PoolWorld(4, 100, "a");
        world.submit("first", 1, world.terms(1_000, LONG));
        world.submit("second", 2, world.terms(1_000, LONG));
        world.submit("third", 3, world.terms(1_000, LONG));
        assertThat(world.calls.sent, hasSize(1));
        world.calls.last().make();
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().orders, hasSize(4));
    }

    @Test
    void tellsEachPieceOnce() {
        PoolWorld world = new PoolWorld(4, 100, "a", "b");
        world.submit("r", 9, world.terms(1_000, LONG));
        for (int i = 0; i < world.calls.sent.size(); i++) {
            world.calls.sent.get(i).make();
        }
        assertThat(world.results, hasSize(9));
        assertThat(world.results.stream().map(PieceResult::id).distinct().count(), is(9L));
        assertThat(world.count(PieceResult.Status.DONE), is(9L));
    }

    @Test
    void sendsNoMoreCallsThanTheEndpointHasSlots() {
        PoolWorld world = new PoolWorld(2, 100, "a");
        world.submit("r", 10, world.terms(1_000, LONG));
        world.advance(100);
        assertThat(world.calls.sent, hasSize(1));
    }

    @Test
    void keepsPiecesBackThatFindNoSpaceUntilResultsAreFreed() {
        PoolWorld world = new PoolWorld(4, 3, "a");
        PieceTerms large = PoolWorld.sized(1_000_000);
        world.submit("r", 5, large);
        assertThat(world.calls.last().orders, hasSize(3));
        world.calls.last().make();
        world.advance(100);
        assertThat(world.calls.sent, hasSize(1));
        world.pool.release(world.results.stream().map(PieceResult::handle).toList());
        world.advance(100);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().orders, hasSize(2));
    }

    @Test
    void believesThatResultsLapseAfterTheirTime() {
        PoolWorld world = new PoolWorld(4, 3, "a");
        PieceTerms large = PoolWorld.sized(1_000_000);
        world.submit("r", 4, large);
        world.calls.last().make();
        world.advance(4_200);
        assertThat(world.calls.sent, hasSize(2));
    }

    @Test
    void asksAgainHoweverOftenAnEndpointHadNoSpace() {
        PoolWorld world = new PoolWorld(4, 100, "a");
        world.submit("r", 1, world.terms(1_000, LONG));
        for (int i = 0; i < 5; i++) {
            world.calls.last().answer(AnswerKind.NO_SPACE);
            assertThat(world.calls.sent, hasSize(i + 1));
            world.advance(400);
            assertThat(world.calls.sent, hasSize(i + 2));
        }
        assertThat(world.results, is(empty()));
    }

    @Test
    void believesAnEndpointFullOnlyForAWhileHoweverManyPiecesFoundNoSpace() {
        PoolWorld world = new PoolWorld(4, 3, "a");
        PieceTerms large = PoolWorld.sized(1_000_000);
        world.submit("r", 3, large);
        world.calls.last().answer(AnswerKind.NO_SPACE);
        world.advance(400);
        assertThat(world.calls.last().orders, hasSize(1));
        world.calls.last().make();
        world.advance(1_000);
        world.calls.last().make();
        world.advance(1_100);
        world.calls.last().make();
        assertThat(world.count(PieceResult.Status.DONE), is(3L));
    }

    @Test
    void sendsNoMoreThanAnEndpointSaysItHasSpaceForBesidesTheResultsOfOthers() {
        PoolWorld world = new PoolWorld(4, 3, "a");
        PieceTerms large = PoolWorld.sized(1_000_000);
        world.submit("r", 3, large);
        world.calls.last().answer(AnswerKind.NO_SPACE);
        assertThat(world.calls.asked, hasSize(1));
        world.calls.asked.get(0).accept(new PieceCalls.FreeSpace(1_200_000, 1_200_000));
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().orders, hasSize(1));
    }

    @Test
    void triesMoreAsTimePassesIfTheReportIsTooCoarse() {
        PoolWorld world = new PoolWorld(8, 0.8, "a");
        PieceTerms small = PoolWorld.sized(100_000);
        world.submit("r", 8, small);
        world.calls.last().answer(AnswerKind.NO_SPACE);
        world.calls.asked.get(0).accept(new PieceCalls.FreeSpace(0, 1_000_000));
        assertThat(world.calls.sent, hasSize(1));
        world.advance(300);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().orders.size(), is(lessThan(8)));
    }

    @Test
    void asksAgainWhetherOthersHaveFreedTheirResults() {
        PoolWorld world = new PoolWorld(4, 3, "a");
        PieceTerms large = PoolWorld.sized(1_000_000);
        world.submit("r", 3, large);
        world.calls.last().answer(AnswerKind.NO_SPACE);
        world.calls.asked.get(0).accept(new PieceCalls.FreeSpace(0, 0));
        world.advance(300);
        assertThat(world.calls.sent, hasSize(1));
        assertThat(world.calls.asked, hasSize(2));
        world.calls.asked.get(1).accept(new PieceCalls.FreeSpace(3_000_000, 3_000_000));
        assertThat(world.calls.last().orders, hasSize(3));
    }

    @Test
    void sendsPiecesOfABrokenCallToAnotherEndpoint() {
        PoolWorld world = new PoolWorld(4, 100, "a", "a");
        world.submit("r", 2, world.terms(1_000, LONG));
        String first = world.calls.last().endpoint.name();
        world.calls.last().fail(CallFailure.LOST);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().endpoint.name(), is(not(first)));
        world.calls.last().make();
        assertThat(world.count(PieceResult.Status.DONE), is(2L));
    }

    @Test
    void givesUpAPieceThatFailsEverywhere() {
        PoolWorld world = new PoolWorld(4, 100, "a", "b");
        world.submit("r", 1, world.terms(1_000, LONG));
        for (int i = 0; i < 3; i++) {
            world.calls.last().answer(AnswerKind.ERROR);
        }
        assertThat(world.calls.sent, hasSize(3));
        assertThat(world.count(PieceResult.Status.FAILED), is(1L));
    }

    @Test
    void repeatsPiecesOnlyWithinTheBudget() {
        PoolWorld world = new PoolWorld(1, 100, "a", "b");
        while (world.budget.tryRepeat(PoolWorld.SERVICE)) {
            assertThat(world.calls.sent, is(empty()));
        }
        world.submit("r", 1, world.terms(1_000, LONG));
        world.calls.last().answer(AnswerKind.ERROR);
        assertThat(world.count(PieceResult.Status.FAILED), is(1L));
        assertThat(world.calls.sent, hasSize(1));
    }

    @Test
    void ordersPiecesOfAStuckCallElsewhereAndTakesTheFirstResult() {
        PoolWorld world = new PoolWorld(4, 100, "a", "b");
        world.submit("r", 1, world.terms(5_000, LONG));
        world.advance(800);
        assertThat(world.calls.sent, hasSize(2));
        world.calls.sent.get(0).make();
        world.calls.sent.get(1).make();
        assertThat(world.results, hasSize(1));
        world.advance(100);
        assertThat(world.calls.freed, hasSize(1));
    }

    @Test
    void keepsAPieceWithItsSlowCallIfNoRepeatIsAllowed() {
        PoolWorld world = new PoolWorld(4, 100, "a", "b");
        while (world.budget.tryRepeat(PoolWorld.SERVICE)) {
            assertThat(world.calls.sent, is(empty()));
        }
        world.submit("r", 1, world.terms(5_000, LONG));
        world.advance(800);
        world.calls.sent.get(0).make();
        assertThat(world.count(PieceResult.Status.DONE), is(1L));
    }

    @Test
    void forgetsAPieceThatWaitsForAnotherCallOnceTheStuckOneAnswers() {
        PoolWorld world = new PoolWorld(4, 100, "a");
        world.submit("r", 1, world.terms(5_000, LONG));
        world.advance(800);
        world.calls.sent.get(0).make();
        world.advance(100);
        assertThat(world.calls.sent, hasSize(1));
        assertThat(world.results, hasSize(1));
    }

    @Test
    void refusesPiecesThatCannotBeDoneBeforeTheirDeadline() {
        PoolWorld world = new PoolWorld(4, 100, "a");
        world.submit("busy", 4, world.terms(1_000, LONG));
        world.submit("r", 1, world.terms(100, 400));
        world.advance(300);
        world.calls.sent.get(0).make();
        assertThat(world.count(PieceResult.Status.LATE), is(1L));
    }

    @Test
    void forgetsCancelledPiecesAndFreesTheirResults() {
        PoolWorld world = new PoolWorld(2, 100, "a");
        world.submit("r", 4, world.terms(1_000, LONG));
        world.pool.cancel("r");
        world.calls.last().make();
        world.advance(100);
        assertThat(world.results, is(empty()));
        assertThat(world.calls.sent, hasSize(1));
        assertThat(world.calls.freed, hasSize(2));
    }

    @Test
    void sendsNothingNewToALeavingEndpoint() {
        PoolWorld world = new PoolWorld(4, 100, "a", "b");
        world.submit("r", 1, world.terms(1_000, LONG));
        String leaving = world.calls.last().endpoint.name();
        world.calls.last().fail(CallFailure.LEAVING);
        world.submit("s", 4, world.terms(1_000, LONG));
        world.submit("t", 4, world.terms(1_000, LONG));
        List<String> later = world.calls.sent.stream()
                .skip(1)
                .map(call -> call.endpoint.name())
                .toList();
        assertThat(later, everyItem(not(equalTo(leaving))));
    }

    @Test
    void givesPiecesBackIfNoEndpointIsListed() {
        PoolWorld world = new PoolWorld(4, 100);
        world.submit("r", 2, world.terms(1_000, LONG));
        assertThat(world.count(PieceResult.Status.WITHDRAWN), is(2L));
    }

    @Test
    void waitsOutAFullEndpointWithoutCountingItAsAFault() {
        PoolWorld world = new PoolWorld(4, 100, "a");
        world.submit("r", 1, world.terms(1_000, LONG));
        for (int i = 0; i < 5; i++) {
            world.calls.last().fail(CallFailure.REFUSED);
            world.advance(200);
        }
        world.calls.last().make();
        assertThat(world.results.stream().map(PieceResult::status).toList(), contains(PieceResult.Status.DONE));
    }

    @Test
    void countsWaitingPiecesByRank() {
        PoolWorld world = new PoolWorld(1, 100, "a");
        world.submit("busy", 1, world.terms(1_000, LONG));
        PieceTerms low = new PieceTerms(2, "", 1, 0, LONG * PoolWorld.MILLI, LONG * PoolWorld.MILLI);
        world.submit("low", 3, low);
        world.submit("high", 2, world.terms(1_000, LONG));
        StageBacklog backlog = world.pool.getBacklog();
        assertThat(backlog.queuedBefore(0), is(2));
        assertThat(backlog.queuedBefore(2), is(5));
        assertThat(backlog.idle(), is(0));
    }
}
