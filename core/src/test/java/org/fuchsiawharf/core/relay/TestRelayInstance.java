package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;

import org.fuchsiawharf.core.pieces.PieceCalls.AnswerKind;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.port.CallFailure;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

class TestRelayInstance {
    private final RelayInstanceFixture fixture = RelayInstanceFixture.configured();

    @Test
    void relaysResponseOnce() {
        RecordingExchange exchange = fixture.request("/get/x", 1_000);
        fixture.calls.last().respond(200);
        fixture.advance(5_000);
        assertThat(exchange.outcomes, contains("200"));
        assertThat(fixture.instance.getActive(), is(0));
    }

    @Test
    void rejectsAsNotRunWithoutConfiguration() {
        RelayInstanceFixture unconfigured = new RelayInstanceFixture();
        RecordingExchange exchange = unconfigured.request("/get/x", 1_000);
        assertThat(exchange.outcomes, contains("NOT_RUN"));
        assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
    }

    @Test
    void rejectsUnknownRouteAndUnknownWorkspace() {
        assertThat(fixture.request("/none/x", 1_000).outcomes, contains("NO_ROUTE"));
        assertThat(fixture.request("/get/x", "wrong", 1_000).outcomes, contains("NO_WORKSPACE"));
        assertThat(fixture.request("/get/x", null, 1_000).outcomes, contains("NO_WORKSPACE"));
        assertThat(fixture.calls.sent, is(empty()));
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"LOST", "GARBAGE", "TIMEOUT"})
    void sendsNonIdempotentRequestOnceIfItMayHaveRun(CallFailure failure) {
        RecordingExchange exchange = fixture.request("/post/x", 1_000);
        fixture.calls.last().fail(failure);
        fixture.advance(2_000);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(exchange.outcomes, contains("LOST"));
    }

    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"NOT_SENT", "REFUSED", "LEAVING"})
    void retriesNonIdempotentRequestThatHasNotRun(CallFailure failure) {
        RecordingExchange exchange = fixture.request("/post/x", 1_000);
        String first = fixture.calls.last().endpoint.name();
        fixture.calls.last().fail(failure);
        fixture.advance(50);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().endpoint.name(), is(not(first)));
        fixture.calls.last().respond(200);
        assertThat(exchange.outcomes, contains("200"));
    }

    @Test
    void reportsNotRunOnlyIfNoAttemptMayHaveRun() {
        RecordingExchange exchange = fixture.request("/post/x", 1_000);
        for (int i = 0; i < 10 && exchange.outcomes.isEmpty(); i++) {
            fixture.calls.last().fail(CallFailure.REFUSED);
            fixture.advance(50);
        }
        assertThat(exchange.outcomes, contains("NOT_RUN"));
        RecordingExchange mixedFailures = fixture.request("/post/x", 1_000);
        fixture.calls.last().fail(CallFailure.NOT_SENT);
        fixture.advance(50);
        fixture.calls.last().fail(CallFailure.LOST);
        assertThat(mixedFailures.outcomes, contains("LOST"));
    }

    @Test
    void relaysErrorResponseToNonIdempotentRequest() {
        RecordingExchange exchange = fixture.request("/post/x", 1_000);
        fixture.calls.last().respond(500);
        assertThat(exchange.outcomes, contains("500"));
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void retriesIdempotentRequestUpToMaxAttempts() {
        RecordingExchange exchange = fixture.request("/get/x", 1_000);
        fixture.calls.last().respond(500);
        fixture.calls.last().respond(500);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(exchange.outcomes, contains("500"));
    }

    @Test
    void doesNotRetryWhenRetryBudgetIsSpent() {
        RelayInstanceFixture withoutBudget = new RelayInstanceFixture(0);
        withoutBudget.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
        withoutBudget.listEndpoints();
        RecordingExchange exchange = withoutBudget.request("/get/x", 1_000);
        withoutBudget.calls.last().fail(CallFailure.LOST);
        withoutBudget.advance(100);
        assertThat(withoutBudget.calls.sent, hasSize(1));
        assertThat(exchange.outcomes, contains("LOST"));
    }

    @Test
    void retriesAtAnotherEndpointIfEndpointIsSilent() {
        RecordingExchange exchange = fixture.request("/get/x", 1_000);
        fixture.advance(500);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.sent.get(0).cancelled, is(true));
        fixture.calls.last().respond(200);
        assertThat(exchange.outcomes, contains("200"));
    }

    // -----------------------------------------------------------------------

    @Test
    void sendsOnlyRemainingDeadlineToEndpoint() {
        fixture.request("/get/x", 900);
        long first = fixture.calls.last().terms.remainingMillis();
        assertThat(first, is(lessThanOrEqualTo(900L)));
        fixture.advance(300);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().terms.remainingMillis(), is(lessThanOrEqualTo(first - 200)));
    }

    @Test
    void timesOutAndCancelsCallAtDeadline() {
        RecordingExchange exchange = fixture.request("/post/x", 700);
        fixture.advance(699);
        assertThat(exchange.outcomes, contains("TIMED_OUT"));
        assertThat(fixture.calls.last().cancelled, is(true));
        fixture.calls.last().respond(200);
        assertThat(exchange.outcomes, hasSize(1));
    }

    @Test
    void timesOutAtRouteTimeoutIfDeadlineIsLater() {
        RecordingExchange exchange = fixture.request("/post/x", 60_000);
        fixture.advance(4_000);
        assertThat(exchange.outcomes, contains("TIMED_OUT"));
    }

    @Test
    void cancelsCallWhenCallerDisconnects() {
        RecordingExchange exchange = fixture.request("/get/x", 1_000);
        fixture.instance.onCallerLeft(exchange);
        assertThat(fixture.calls.last().cancelled, is(true));
        assertThat(fixture.instance.getActive(), is(0));
        fixture.advance(2_000);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(exchange.outcomes, is(empty()));
    }

    // -----------------------------------------------------------------------

    @Test
    void appliesOnlyNewerConfigurations() {
        assertThat(fixture.instance.applyConfig(RelayInstanceFixture.config(1, "other")), is(false));
        assertThat(fixture.instance.applyConfig(RelayInstanceFixture.config(5, "other")), is(true));
        assertThat(fixture.instance.applyConfig(RelayInstanceFixture.config(3, "plain")), is(false));
        fixture.request("/get/x", 1_000);
        assertThat(fixture.calls.last().endpoint.service(), is("other"));
    }

    @Test
    void routesRequestByConfigurationAtArrival() {
        fixture.request("/get/x", 1_000);
        fixture.instance.applyConfig(RelayInstanceFixture.config(2, "other"));
        fixture.calls.last().fail(CallFailure.LOST);
        fixture.advance(50);
        assertThat(fixture.calls.last().endpoint.service(), is("plain"));
    }

    @Test
    void sendsNothingToLeavingEndpoint() {
        fixture.instance.getEndpointUpdates().onLeaving("p0");
        for (int i = 0; i < 30; i++) {
            fixture.request("/get/x", 1_000);
        }
        assertThat(
                fixture.calls.sent.stream()
                        .map(s -> s.endpoint.name())
                        .distinct()
                        .toList(),
                everyItem(not("p0")));
    }

    @Test
    void usesRestartedEndpointWithSameName() {
        fixture.instance.getEndpointUpdates().onLeaving("p0");
        List<org.fuchsiawharf.core.model.EndpointStatus> listing = new ArrayList<>();
        listing.add(new org.fuchsiawharf.core.model.EndpointStatus(
                RelayInstanceFixture.status("p0", "plain", 10).endpoint(), false, 2));
        fixture.instance.getEndpointUpdates().onEndpoints(listing);
        fixture.request("/get/x", 1_000);
        assertThat(fixture.calls.last().endpoint.name(), is("p0"));
    }

    @Test
    void rejectsAtOnceIfNoEndpointIsListed() {
        fixture.instance.getEndpointUpdates().onEndpoints(List.of());
        RecordingExchange exchange = fixture.request("/post/x", 1_000);
        assertThat(exchange.outcomes, contains("NOT_RUN"));
        assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
    }

    // -----------------------------------------------------------------------

    @Test
    void endsStreamOnce() {
        RecordingExchange exchange = fixture.request("/chat/x", 3_000);
        fixture.calls.last().listener.onStreamStarted();
        fixture.calls.last().listener.onStreamEnded(5);
        fixture.advance(5_000);
        assertThat(exchange.outcomes, contains("stream"));
    }

    @Test
    void resumesStreamAtAnotherEngine() {
        RecordingExchange exchange = fixture.request("/chat/x", 3_000);
        String first = fixture.calls.last().endpoint.name();
        fixture.calls.last().listener.onStreamStarted();
        fixture.calls.last().fail(CallFailure.LOST);
        fixture.advance(50);
        assertThat(fixture.calls.last().endpoint.name(), is(not(first)));
        fixture.calls.last().listener.onStreamEnded(3);
        assertThat(exchange.outcomes, contains("stream"));
    }

    @Test
    void abortsStreamThatMayNotBeResumed() {
        RecordingExchange exchange = fixture.request("/verdict/x", 3_000);
        fixture.calls.last().listener.onStreamStarted();
        fixture.calls.last().fail(CallFailure.LOST);
        fixture.advance(50);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(exchange.outcomes, contains("broken"));
    }

    @Test
    void resumesStreamOfSilentEngine() {
        fixture.request("/chat/x", 3_900);
        fixture.calls.last().listener.onStreamStarted();
        fixture.advance(1_000);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.sent.get(0).cancelled, is(true));
    }

    @Test
    void sendsSessionToSameEngine() {
        for (int i = 0; i < 20; i++) {
            fixture.request("/chat/x", 3_000);
            fixture.calls.last().listener.onStreamEnded(1);
        }
        assertThat(
                fixture.calls.sent.stream()
                        .map(s -> s.endpoint.name())
                        .distinct()
                        .toList(),
                hasSize(1));
    }

    // -----------------------------------------------------------------------

    @Test
    void sendsRequestWithOrderedResultsAfterStages() {
        fixture.request("/staged/x", 3_000, 1, 3);
        assertThat(fixture.calls.sent, is(empty()));
        fixture.producePieces();
        assertThat(fixture.calls.sent, hasSize(1));
        List<String> inputs = Objects.requireNonNull(fixture.calls.last().terms.inputs());
        assertThat(inputs, hasSize(3));
        for (int i = 0; i < 3; i++) {
            assertThat(inputs.get(i).endsWith("r0-1-" + i), is(true));
        }
    }

    @Test
    void passesAllResultsAndNoKeyToDependentStage() {
        fixture.request("/staged/x", 3_000, 2, 1);
        fixture.pieces.getSent().get(0).answerProduced();
        PieceOrder dependentPiece = fixture.pieces.last().getOrders().get(0);
        assertThat(dependentPiece.id().stage(), is(1));
        assertThat(dependentPiece.key(), is(org.hamcrest.Matchers.nullValue()));
        assertThat(dependentPiece.inputs(), hasSize(2));
        assertThat(dependentPiece.inputs(), everyItem(startsWith("10.0.0.")));
        assertThat(fixture.pieces.getSent().get(0).getOrders().get(0).key(), is("piece-key"));
    }

    @Test
    void skipsStagesWithoutPieces() {
        fixture.request("/staged/x", 3_000, 0, 0);
        assertThat(fixture.pieces.getSent(), is(empty()));
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void releasesResultsAfterStreamStarts() {
        fixture.request("/staged/x", 3_000, 1, 2);
        fixture.producePieces();
        fixture.calls.last().listener.onStreamStarted();
        fixture.advance(200);
        assertThat(fixture.pieces.getReleasedHandles(), hasSize(3));
    }

    @Test
    void releasesResultsWhenCallerDisconnects() {
        RecordingExchange exchange = fixture.request("/staged/x", 3_000, 2, 1);
        fixture.pieces.getSent().get(0).answerProduced();
        fixture.instance.onCallerLeft(exchange);
        fixture.pieces.last().answerProduced();
        fixture.advance(200);
        assertThat(fixture.pieces.getReleasedHandles(), hasSize(3));
        assertThat(fixture.calls.sent, is(empty()));
    }

    @Test
    void reproducesLostInputsOfStage() {
        fixture.request("/staged/x", 3_000, 1, 1);
        fixture.pieces.getSent().get(0).answerProduced();
        fixture.pieces.last().answer(AnswerKind.INPUT_GONE);
        assertThat(fixture.pieces.last().getOrders().get(0).id().stage(), is(0));
        fixture.pieces.last().answerProduced();
        assertThat(fixture.pieces.last().getOrders().get(0).id().stage(), is(1));
        fixture.pieces.last().answerProduced();
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void reproducesAllStagesIfEngineReportsLostInputs() {
        fixture.request("/staged/x", 3_000, 1, 1);
        fixture.producePieces();
        fixture.calls.last().fail(CallFailure.INPUTS_GONE);
        fixture.producePieces();
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().terms.inputs(), hasSize(1));
    }

    @Test
    void reproducesStagesForResumedStream() {
        RecordingExchange exchange = fixture.request("/staged/x", 3_000, 1, 1);
        fixture.producePieces();
        fixture.calls.last().listener.onStreamStarted();
        fixture.calls.last().fail(CallFailure.LOST);
        fixture.advance(50);
        fixture.producePieces();
        assertThat(fixture.calls.sent, hasSize(2));
        fixture.calls.last().listener.onStreamEnded(2);
        assertThat(exchange.outcomes, contains("stream"));
    }

    @Test
    void reportsNotRunIfStageFails() {
        RecordingExchange exchange = fixture.request("/staged/x", 3_000, 1, 1);
        for (int i = 0; i < 3; i++) {
            fixture.pieces.last().answer(AnswerKind.ERROR);
        }
        assertThat(exchange.outcomes, contains("NOT_RUN"));
    }

    @Test
    void rejectsRequestThatBacklogMakesLate() {
        for (int i = 0; i < 40; i++) {
            fixture.request("/staged/x", 3_900, 8, 8);
        }
        RecordingExchange last = fixture.request("/staged/x", 3_900, 8, 8);
        assertThat(last.outcomes, contains("NOT_RUN"));
        assertThat(last.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
    }

    @Test
    void configurationChangeDoesNotForgetWhatWasLearnedOfCallers() {
        for (int queued = 0; queued < 20; queued++) {
            assertThat(isReturningCallerRejected(queued, true), is(isReturningCallerRejected(queued, false)));
        }
    }

    private static boolean isReturningCallerRejected(int queued, boolean changesConfiguration) {
        RelayInstanceFixture fixture = RelayInstanceFixture.configured();
        for (int i = 0; i < 10; i++) {
            fixture.request("/staged/x", 3_900, 0, 0);
        }
        if (changesConfiguration) {
            fixture.instance.applyConfig(RelayInstanceFixture.config(2, "plain"));
        }
        for (int i = 0; i < queued; i++) {
            fixture.request("/staged/x", 0, 2, 2);
        }
        return fixture.request("/staged/x", 2_500, 1, 1).outcomes.contains("NOT_RUN");
    }

    @Test
    void logsOneEventPerRequest() {
        fixture.request("/get/x", 1_000);
        fixture.calls.last().respond(200);
        fixture.request("/none/x", 1_000);
        assertThat(fixture.loggedEvents.stream().filter("request.ended"::equals).count(), is(1L));
        assertThat(
                fixture.loggedEvents.stream().filter("request.refused"::equals).count(), is(1L));
    }
}
