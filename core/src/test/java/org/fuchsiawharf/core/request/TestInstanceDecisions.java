package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.StageCall;
import org.fuchsiawharf.core.request.DecisionHarness.Caller;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class TestInstanceDecisions {
    private static final Pipeline FEEDBACK = DecisionHarness.pipeline(true);
    private static final Pipeline ASSESSMENT = DecisionHarness.pipeline(false);
    private static final Pipeline CHARGE = DecisionHarness.single(false);

    private final DecisionHarness harness =
            DecisionHarness.tuned().withEndpoints("encoder-1", "encoder-2", "llm-1", "llm-2", "billing-1", "billing-2");

    @Test
    void answersOnceWithEveryTokenInOrder() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.answer(harness.last());
        harness.tokens(harness.last(), 0, 3);
        harness.end(harness.last(), 3);
        assertThat(caller.only().outcome(), is(Outcome.ANSWERED));
        assertThat(caller.only().answer(), is(Payload.parse("{\"text\":\"t0 t1 t2 \",\"tokens\":3}")));
        assertThat(caller.text.toString(), is("t0 t1 t2 "));
    }

    @Test
    void passesTheStageAnswerOnAsPrevious() {
        harness.request(FEEDBACK, 4_000, "");
        assertThat(harness.last().previous(), is(Payload.NULL));
        harness.answer(harness.last());
        assertThat(harness.last().previous(), is(Payload.parse("{\"stage\":\"encode\"}")));
    }

    @Test
    void dropsASecondAnswerOfTheSameAttempt() {
        Caller caller = harness.request(CHARGE, 4_000, "k");
        harness.answer(harness.last());
        harness.answer(harness.last());
        assertThat(caller.only().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.count(Counters.Name.STALE_ANSWERS_DROPPED), is(1L));
    }

    @Test
    void dropsAnAnswerOfAnotherAttemptOfTheRequest() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        AttemptId open = harness.last().id();
        AttemptId other = new AttemptId(open.instance(), open.request(), open.stage(), open.attempt() + 1);
        harness.send(new Event.CallCompleted(other, Payload.NULL, 0));
        assertThat(caller.results, is(empty()));
        assertThat(harness.calls, hasSize(1));
    }

    @Test
    void retriesARepeatableStageElsewhere() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        StageCall first = harness.last();
        harness.fail(first, CallFailure.LOST);
        assertThat(harness.last().endpoint(), is(not(first.endpoint())));
        assertThat(caller.results, is(empty()));
    }

    @Test
    void neverRepeatsANonRepeatableCallThatMayHaveRun() {
        for (CallFailure failure : CallFailure.values()) {
            if (failure.isEffectPossible() && failure != CallFailure.RUN_GONE) {
                int before = harness.calls.size();
                Caller caller = harness.request(CHARGE, 4_000, "key-" + failure);
                harness.fail(harness.last(), failure);
                assertThat(caller.only().outcome(), is(Outcome.UNKNOWN));
                assertThat(harness.calls, hasSize(before + 1));
            }
        }
    }

    @Test
    void repeatsANonRepeatableCallThatProvablyDidNotRun() {
        Caller caller = harness.request(CHARGE, 4_000, "k");
        harness.fail(harness.last(), CallFailure.NOT_SENT);
        assertThat(harness.calls, hasSize(2));
        harness.answer(harness.last());
        assertThat(caller.only().outcome(), is(Outcome.ANSWERED));
    }

    @Test
    void saysUnknownWhenTheDeadlinePassesOnAnOpenNonRepeatableCall() {
        Caller caller = harness.request(CHARGE, 500, "k");
        harness.advance(500);
        assertThat(caller.only().outcome(), is(Outcome.UNKNOWN));
        assertThat(caller.only().code(), is(ErrorCode.DEADLINE_EXCEEDED));
        assertThat(harness.cancelled, contains(harness.last().id()));
    }

    @Test
    void saysFailedWhenOnlyRepeatableStagesRan() {
        Caller caller = harness.request(ASSESSMENT, 500, "k");
        harness.advance(500);
        assertThat(caller.only().outcome(), is(Outcome.FAILED));
    }

    @Test
    void saysUnknownWhenANonRepeatableStageEndedBeforeAFailure() {
        Pipeline pipeline = new Pipeline(
                "order",
                java.util.List.of(CHARGE.stages().get(0), FEEDBACK.stages().get(0)));
        Caller caller = harness.request(pipeline, 500, "k");
        harness.answer(harness.last());
        harness.advance(500);
        assertThat(caller.only().outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void saysNotRunWhenNothingWasSent() {
        DecisionHarness empty = DecisionHarness.tuned();
        Caller caller = empty.request(FEEDBACK, 500, "");
        assertThat(caller.only().outcome(), is(Outcome.NOT_RUN));
        assertThat(caller.only().code(), is(ErrorCode.NO_ENDPOINT));
    }

    @Test
    void saysNotRunWhenEveryCallWasRefusedBeforeWork() {
        Caller caller = harness.request(CHARGE, 4_000, "k");
        for (int i = 0; i < 10 && caller.results.isEmpty(); i++) {
            harness.fail(harness.last(), CallFailure.REFUSED);
            harness.advance(400);
        }
        assertThat(caller.only().outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void refusesADeadlineThatHasPassed() {
        Caller caller = harness.request(FEEDBACK, 0, "");
        assertThat(caller.only().outcome(), is(Outcome.NOT_RUN));
        assertThat(caller.only().code(), is(ErrorCode.DEADLINE_PASSED));
    }

    @Test
    void rejoinsABrokenStreamAtTheSameEndpointAndDropsRepeats() {
        Caller caller = harness.request(ASSESSMENT, 4_000, "k");
        harness.answer(harness.last());
        StageCall first = harness.last();
        harness.tokens(first, 0, 3);
        harness.fail(first, CallFailure.LOST);
        StageCall rejoin = harness.last();
        assertThat(rejoin.reconnect(), is(true));
        assertThat(rejoin.id(), is(first.id()));
        assertThat(rejoin.offset(), is(3L));
        harness.tokens(rejoin, 2, 5);
        harness.end(rejoin, 5);
        assertThat(caller.only().outcome(), is(Outcome.ANSWERED));
        assertThat(caller.text.toString(), is("t0 t1 t2 t3 t4 "));
        assertThat(harness.count(Counters.Name.REPEATED_TOKENS_DROPPED), is(1L));
    }

    @Test
    void saysUnknownWhenANonRepeatableRunCannotBeRejoined() {
        Caller caller = harness.request(ASSESSMENT, 4_000, "k");
        harness.answer(harness.last());
        harness.fail(harness.last(), CallFailure.LOST);
        int calls = harness.calls.size();
        harness.fail(harness.last(), CallFailure.NOT_SENT);
        assertThat(caller.only().outcome(), is(Outcome.UNKNOWN));
        assertThat(harness.calls, hasSize(calls));
    }

    @Test
    void continuesARepeatableStreamElsewhereFromItsOffset() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.answer(harness.last());
        StageCall first = harness.last();
        harness.tokens(first, 0, 2);
        harness.fail(first, CallFailure.LOST);
        harness.fail(harness.last(), CallFailure.NOT_SENT);
        StageCall other = harness.last();
        assertThat(other.endpoint(), is(not(first.endpoint())));
        assertThat(other.offset(), is(2L));
        assertThat(other.partial(), is("t0 t1 "));
        harness.tokens(other, 2, 4);
        harness.end(other, 4);
        assertThat(caller.text.toString(), is("t0 t1 t2 t3 "));
    }

    @Test
    void resumesAStreamWithAGap() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.answer(harness.last());
        harness.tokens(harness.last(), 0, 1);
        harness.tokens(harness.last(), 2, 3);
        StageCall rejoin = harness.last();
        assertThat(rejoin.offset(), is(1L));
        harness.tokens(rejoin, 1, 3);
        harness.end(rejoin, 3);
        assertThat(caller.only().answer(), is(Payload.parse("{\"text\":\"t0 t1 t2 \",\"tokens\":3}")));
    }

    @Test
    void cancelsOpenCallsWhenTheCallerLeaves() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.send(new Event.CallerLeft(caller));
        assertThat(harness.cancelled, contains(harness.last().id()));
        assertThat(harness.log, hasSize(1));
    }

    @Test
    void givesARetryWithTheSameKeyTheFirstAnswer() {
        harness.request(CHARGE, 4_000, "k");
        harness.answer(harness.last());
        Caller again = harness.request(CHARGE, 4_000, "k");
        assertThat(again.only().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.calls, hasSize(1));
    }

    @Test
    void joinsARetryToTheRunningRequest() {
        Caller first = harness.request(CHARGE, 4_000, "k");
        Caller second = harness.request(CHARGE, 4_000, "k");
        harness.answer(harness.last());
        assertThat(first.only().outcome(), is(Outcome.ANSWERED));
        assertThat(second.only().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.calls, hasSize(1));
    }

    @Test
    void refusesAKeyWithAnotherBody() {
        harness.request(CHARGE, 4_000, "k");
        Caller other = new Caller();
        harness.request(CHARGE, 4_000, "k", "{\"other\":1}", other);
        assertThat(other.only().code(), is(ErrorCode.IDEMPOTENCY_KEY_REUSED));
    }

    @Test
    void sendsNothingToALeavingEndpoint() {
        harness.list("billing-1");
        for (int i = 0; i < 20; i++) {
            harness.request(CHARGE, 4_000, "k" + i);
            assertThat(harness.last().endpoint().name(), is("billing-2"));
            harness.answer(harness.last());
        }
    }

    @Test
    void believesAnEndpointThatSaysItIsLeavingBeforeTheDirectoryDoes() {
        harness.send(new Event.LoadReported("billing-1", 0, 0, 8, true));
        harness.list();
        for (int i = 0; i < 20; i++) {
            harness.request(CHARGE, 4_000, "k" + i);
            assertThat(harness.last().endpoint().name(), is("billing-2"));
            harness.answer(harness.last());
        }
    }

    @Test
    void finishesRunningRequestsAndRefusesNewOnesWhenStopping() {
        Caller running = harness.request(CHARGE, 4_000, "k");
        harness.send(new Event.ShutdownRequested(false));
        Caller late = harness.request(CHARGE, 4_000, "k2");
        assertThat(late.only().code(), is(ErrorCode.SHUTTING_DOWN));
        assertThat(late.only().outcome(), is(Outcome.NOT_RUN));
        assertThat(harness.drained, is(false));
        harness.answer(harness.calls.get(0));
        assertThat(running.only().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.drained, is(true));
    }

    @Test
    void ejectsAnUnreachableEndpointAndProbesItLater() {
        StageCall first = null;
        for (int i = 0; i < 2; i++) {
            harness.request(CHARGE, 4_000, "a" + i);
            if (harness.last().endpoint().name().equals("billing-1")) {
                first = harness.last();
                harness.fail(first, CallFailure.NOT_SENT);
            }
            harness.answer(harness.last());
        }
        if (first == null) {
            harness.request(CHARGE, 4_000, "b");
            first = harness.last();
            harness.fail(first, CallFailure.NOT_SENT);
            harness.answer(harness.last());
        }
        String ejected = first.endpoint().name();
        int before = harness.calls.size();
        for (int i = 0; i < 10; i++) {
            harness.request(CHARGE, 4_000, "c" + i);
            harness.answer(harness.last());
        }
        assertThat(
                harness.calls.subList(before, harness.calls.size()).stream()
                        .map(call -> call.endpoint().name())
                        .toList(),
                not(hasItem(ejected)));
        harness.advance(2_500);
        before = harness.calls.size();
        for (int i = 0; i < 30; i++) {
            harness.request(CHARGE, 4_000, "d" + i);
            harness.answer(harness.last());
        }
        assertThat(
                harness.calls.subList(before, harness.calls.size()).stream()
                        .map(call -> call.endpoint().name())
                        .toList(),
                hasItem(ejected));
    }

    @Test
    void movesStreamsAwayFromAnEndpointThatTurnsSlow() {
        for (int i = 0; i < 12; i++) {
            harness.request(FEEDBACK, 4_000, "");
            harness.answer(harness.last());
            StageCall call = harness.last();
            for (int token = 0; token < 10; token++) {
                harness.advance(10);
                harness.tokens(call, token, token + 1);
            }
            harness.end(call, 10);
        }
        Caller caller = harness.request(FEEDBACK, 8_000, "");
        harness.answer(harness.last());
        StageCall slow = harness.last();
        for (int token = 0; token < 10 && harness.last() == slow; token++) {
            harness.advance(120);
            harness.tokens(slow, token, token + 1);
        }
        StageCall moved = harness.last();
        assertThat(moved.endpoint(), is(not(slow.endpoint())));
        assertThat(harness.cancelled, hasItem(slow.id()));
        harness.tokens(moved, (int) moved.offset(), 10);
        harness.end(moved, 10);
        assertThat(caller.only().outcome(), is(Outcome.ANSWERED));
    }

    @Test
    void leavesNothingBehindAfterEveryOutcome() {
        harness.request(FEEDBACK, 100, "");
        harness.request(CHARGE, 100, "k");
        Caller left = harness.request(FEEDBACK, 4_000, "");
        harness.send(new Event.CallerLeft(left));
        harness.advance(200);
        harness.send(new Event.StatusRequested(status -> {
            assertThat(status.active(), is(0));
            assertThat(status.queued(), is(0));
            status.endpoints().forEach(endpoint -> assertThat(endpoint.inFlight(), is(0)));
        }));
        assertThat(harness.log, hasSize(3));
    }
}
