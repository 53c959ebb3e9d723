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
    private static final Pipeline FEEDBACK = DecisionHarness.twoStagePipeline(true);
    private static final Pipeline ASSESSMENT = DecisionHarness.twoStagePipeline(false);
    private static final Pipeline CHARGE = DecisionHarness.singleStagePipeline(false);

    private final DecisionHarness harness = DecisionHarness.withAttainmentPolicies()
            .withEndpoints("encoder-1", "encoder-2", "llm-1", "llm-2", "billing-1", "billing-2");

    @Test
    void returnsOneResponseWithAllTokensInOrder() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.respond(harness.lastCall());
        harness.sendTokens(harness.lastCall(), 0, 3);
        harness.completeStream(harness.lastCall(), 3);
        assertThat(caller.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(caller.onlyResult().answer(), is(Payload.ofJson("{\"text\":\"t0 t1 t2 \",\"tokens\":3}")));
        assertThat(caller.text.toString(), is("t0 t1 t2 "));
    }

    @Test
    void passesStageResponseToNextStage() {
        harness.request(FEEDBACK, 4_000, "");
        assertThat(harness.lastCall().previous(), is(Payload.NULL));
        harness.respond(harness.lastCall());
        assertThat(harness.lastCall().previous(), is(Payload.ofJson("{\"stage\":\"encode\"}")));
    }

    @Test
    void dropsSecondResponseToSameAttempt() {
        Caller caller = harness.request(CHARGE, 4_000, "k");
        harness.respond(harness.lastCall());
        harness.respond(harness.lastCall());
        assertThat(caller.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.count(Counters.Name.STALE_ANSWERS_DROPPED), is(1L));
    }

    @Test
    void dropsResponseWithUnknownAttemptId() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        AttemptId open = harness.lastCall().id();
        AttemptId other = new AttemptId(open.instance(), open.request(), open.stage(), open.attempt() + 1);
        harness.send(new Event.CallCompleted(other, Payload.NULL, 0));
        assertThat(caller.results, is(empty()));
        assertThat(harness.calls, hasSize(1));
    }

    @Test
    void retriesRepeatableStageAtAnotherEndpoint() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        StageCall first = harness.lastCall();
        harness.fail(first, CallFailure.LOST);
        assertThat(harness.lastCall().endpoint(), is(not(first.endpoint())));
        assertThat(caller.results, is(empty()));
    }

    @Test
    void doesNotRepeatNonRepeatableCallThatMayHaveRun() {
        for (CallFailure failure : CallFailure.values()) {
            if (failure.mayHaveRun() && failure != CallFailure.RUN_GONE) {
                int before = harness.calls.size();
                Caller caller = harness.request(CHARGE, 4_000, "key-" + failure);
                harness.fail(harness.lastCall(), failure);
                assertThat(caller.onlyResult().outcome(), is(Outcome.UNKNOWN));
                assertThat(harness.calls, hasSize(before + 1));
            }
        }
    }

    @Test
    void repeatsNonRepeatableCallThatWasNotSent() {
        Caller caller = harness.request(CHARGE, 4_000, "k");
        harness.fail(harness.lastCall(), CallFailure.NOT_SENT);
        assertThat(harness.calls, hasSize(2));
        harness.respond(harness.lastCall());
        assertThat(caller.onlyResult().outcome(), is(Outcome.ANSWERED));
    }

    @Test
    void returnsUnknownWhenDeadlinePassesDuringNonRepeatableCall() {
        Caller caller = harness.request(CHARGE, 500, "k");
        harness.advance(500);
        assertThat(caller.onlyResult().outcome(), is(Outcome.UNKNOWN));
        assertThat(caller.onlyResult().code(), is(ErrorCode.DEADLINE_EXCEEDED));
        assertThat(harness.cancelled, contains(harness.lastCall().id()));
    }

    @Test
    void returnsFailedWhenOnlyRepeatableStagesRan() {
        Caller caller = harness.request(ASSESSMENT, 500, "k");
        harness.advance(500);
        assertThat(caller.onlyResult().outcome(), is(Outcome.FAILED));
    }

    @Test
    void returnsUnknownWhenRequestFailsAfterNonRepeatableStage() {
        Pipeline pipeline = new Pipeline(
                "order",
                java.util.List.of(CHARGE.stages().get(0), FEEDBACK.stages().get(0)));
        Caller caller = harness.request(pipeline, 500, "k");
        harness.respond(harness.lastCall());
        harness.advance(500);
        assertThat(caller.onlyResult().outcome(), is(Outcome.UNKNOWN));
    }

    @Test
    void returnsNotRunWhenNoCallWasSent() {
        DecisionHarness harnessWithoutEndpoints = DecisionHarness.withAttainmentPolicies();
        Caller caller = harnessWithoutEndpoints.request(FEEDBACK, 500, "");
        assertThat(caller.onlyResult().outcome(), is(Outcome.NOT_RUN));
        assertThat(caller.onlyResult().code(), is(ErrorCode.NO_ENDPOINT));
    }

    @Test
    void returnsNotRunWhenEndpointsRejectedEveryCall() {
        Caller caller = harness.request(CHARGE, 4_000, "k");
        for (int i = 0; i < 10 && caller.results.isEmpty(); i++) {
            harness.fail(harness.lastCall(), CallFailure.REFUSED);
            harness.advance(400);
        }
        assertThat(caller.onlyResult().outcome(), is(Outcome.NOT_RUN));
    }

    @Test
    void rejectsRequestWhenDeadlineHasPassed() {
        Caller caller = harness.request(FEEDBACK, 0, "");
        assertThat(caller.onlyResult().outcome(), is(Outcome.NOT_RUN));
        assertThat(caller.onlyResult().code(), is(ErrorCode.DEADLINE_PASSED));
    }

    @Test
    void rejoinsInterruptedStreamAndDropsDuplicateTokens() {
        Caller caller = harness.request(ASSESSMENT, 4_000, "k");
        harness.respond(harness.lastCall());
        StageCall first = harness.lastCall();
        harness.sendTokens(first, 0, 3);
        harness.fail(first, CallFailure.LOST);
        StageCall rejoin = harness.lastCall();
        assertThat(rejoin.reconnect(), is(true));
        assertThat(rejoin.id(), is(first.id()));
        assertThat(rejoin.offset(), is(3L));
        harness.sendTokens(rejoin, 2, 5);
        harness.completeStream(rejoin, 5);
        assertThat(caller.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(caller.text.toString(), is("t0 t1 t2 t3 t4 "));
        assertThat(harness.count(Counters.Name.REPEATED_TOKENS_DROPPED), is(1L));
    }

    @Test
    void returnsUnknownWhenNonRepeatableRunCannotBeRejoined() {
        Caller caller = harness.request(ASSESSMENT, 4_000, "k");
        harness.respond(harness.lastCall());
        harness.fail(harness.lastCall(), CallFailure.LOST);
        int calls = harness.calls.size();
        harness.fail(harness.lastCall(), CallFailure.NOT_SENT);
        assertThat(caller.onlyResult().outcome(), is(Outcome.UNKNOWN));
        assertThat(harness.calls, hasSize(calls));
    }

    @Test
    void continuesRepeatableStreamAtAnotherEndpointFromOffset() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.respond(harness.lastCall());
        StageCall first = harness.lastCall();
        harness.sendTokens(first, 0, 2);
        harness.fail(first, CallFailure.LOST);
        harness.fail(harness.lastCall(), CallFailure.NOT_SENT);
        StageCall other = harness.lastCall();
        assertThat(other.endpoint(), is(not(first.endpoint())));
        assertThat(other.offset(), is(2L));
        assertThat(other.partial(), is("t0 t1 "));
        harness.sendTokens(other, 2, 4);
        harness.completeStream(other, 4);
        assertThat(caller.text.toString(), is("t0 t1 t2 t3 "));
    }

    @Test
    void rejoinsWhenTokenIsMissing() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.respond(harness.lastCall());
        harness.sendTokens(harness.lastCall(), 0, 1);
        harness.sendTokens(harness.lastCall(), 2, 3);
        StageCall rejoin = harness.lastCall();
        assertThat(rejoin.offset(), is(1L));
        harness.sendTokens(rejoin, 1, 3);
        harness.completeStream(rejoin, 3);
        assertThat(caller.onlyResult().answer(), is(Payload.ofJson("{\"text\":\"t0 t1 t2 \",\"tokens\":3}")));
    }

    @Test
    void cancelsOpenCallsWhenCallerDisconnects() {
        Caller caller = harness.request(FEEDBACK, 4_000, "");
        harness.send(new Event.CallerLeft(caller));
        assertThat(harness.cancelled, contains(harness.lastCall().id()));
        assertThat(harness.log, hasSize(1));
    }

    @Test
    void returnsStoredResponseForRepeatedKey() {
        harness.request(CHARGE, 4_000, "k");
        harness.respond(harness.lastCall());
        Caller repeated = harness.request(CHARGE, 4_000, "k");
        assertThat(repeated.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.calls, hasSize(1));
    }

    @Test
    void joinsRepeatedRequestToRunningRequest() {
        Caller first = harness.request(CHARGE, 4_000, "k");
        Caller second = harness.request(CHARGE, 4_000, "k");
        harness.respond(harness.lastCall());
        assertThat(first.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(second.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.calls, hasSize(1));
    }

    @Test
    void rejectsReusedKeyWithDifferentBody() {
        harness.request(CHARGE, 4_000, "k");
        Caller other = new Caller();
        harness.request(CHARGE, 4_000, "k", "{\"other\":1}", other);
        assertThat(other.onlyResult().code(), is(ErrorCode.IDEMPOTENCY_KEY_REUSED));
    }

    @Test
    void sendsNoCallsToLeavingEndpoint() {
        harness.publishEndpoints("billing-1");
        for (int i = 0; i < 20; i++) {
            harness.request(CHARGE, 4_000, "k" + i);
            assertThat(harness.lastCall().endpoint().name(), is("billing-2"));
            harness.respond(harness.lastCall());
        }
    }

    @Test
    void sendsNoCallsToEndpointThatReportsLeavingAndIsStillListed() {
        harness.send(new Event.LoadReported("billing-1", 0, 0, 8, true));
        harness.publishEndpoints();
        for (int i = 0; i < 20; i++) {
            harness.request(CHARGE, 4_000, "k" + i);
            assertThat(harness.lastCall().endpoint().name(), is("billing-2"));
            harness.respond(harness.lastCall());
        }
    }

    @Test
    void completesRunningRequestsAndRejectsNewOnesWhileDraining() {
        Caller running = harness.request(CHARGE, 4_000, "k");
        harness.send(new Event.ShutdownRequested(false));
        Caller late = harness.request(CHARGE, 4_000, "k2");
        assertThat(late.onlyResult().code(), is(ErrorCode.SHUTTING_DOWN));
        assertThat(late.onlyResult().outcome(), is(Outcome.NOT_RUN));
        assertThat(harness.drained, is(false));
        harness.respond(harness.calls.get(0));
        assertThat(running.onlyResult().outcome(), is(Outcome.ANSWERED));
        assertThat(harness.drained, is(true));
    }

    @Test
    void ejectsUnreachableEndpointAndProbesItLater() {
        StageCall first = null;
        for (int i = 0; i < 2; i++) {
            harness.request(CHARGE, 4_000, "a" + i);
            if (harness.lastCall().endpoint().name().equals("billing-1")) {
                first = harness.lastCall();
                harness.fail(first, CallFailure.NOT_SENT);
            }
            harness.respond(harness.lastCall());
        }
        if (first == null) {
            harness.request(CHARGE, 4_000, "b");
            first = harness.lastCall();
            harness.fail(first, CallFailure.NOT_SENT);
            harness.respond(harness.lastCall());
        }
        String ejected = first.endpoint().name();
        int before = harness.calls.size();
        for (int i = 0; i < 10; i++) {
            harness.request(CHARGE, 4_000, "c" + i);
            harness.respond(harness.lastCall());
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
            harness.respond(harness.lastCall());
        }
        assertThat(
                harness.calls.subList(before, harness.calls.size()).stream()
                        .map(call -> call.endpoint().name())
                        .toList(),
                hasItem(ejected));
    }

    @Test
    void migratesStreamsFromEndpointThatBecomesSlow() {
        for (int i = 0; i < 12; i++) {
            harness.request(FEEDBACK, 4_000, "");
            harness.respond(harness.lastCall());
            StageCall call = harness.lastCall();
            for (int token = 0; token < 10; token++) {
                harness.advance(10);
                harness.sendTokens(call, token, token + 1);
            }
            harness.completeStream(call, 10);
        }
        Caller caller = harness.request(FEEDBACK, 8_000, "");
        harness.respond(harness.lastCall());
        StageCall slow = harness.lastCall();
        for (int token = 0; token < 10 && harness.lastCall() == slow; token++) {
            harness.advance(120);
            harness.sendTokens(slow, token, token + 1);
        }
        StageCall moved = harness.lastCall();
        assertThat(moved.endpoint(), is(not(slow.endpoint())));
        assertThat(harness.cancelled, hasItem(slow.id()));
        harness.sendTokens(moved, (int) moved.offset(), 10);
        harness.completeStream(moved, 10);
        assertThat(caller.onlyResult().outcome(), is(Outcome.ANSWERED));
    }

    @Test
    void releasesAllStateAfterDeadlineOrDisconnect() {
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
