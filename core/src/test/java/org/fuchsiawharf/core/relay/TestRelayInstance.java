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
    private final RelayWorld world = RelayWorld.ready();

    @Test
    void relaysAnAnswerOnce() {
        RecordingExchange exchange = world.request("/get/x", 1_000);
        world.calls.last().answer(200);
        world.advance(5_000);
        assertThat(exchange.answers, contains("200"));
        assertThat(world.instance.getActive(), is(0));
    }

    @Test
    void refusesAsNotRunWhileNoConfigurationIsKnown() {
        RelayWorld blank = new RelayWorld();
        RecordingExchange exchange = blank.request("/get/x", 1_000);
        assertThat(exchange.answers, contains("NOT_RUN"));
        assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
    }

    @Test
    void knowsNoRouteAndNoWorkspace() {
        assertThat(world.request("/none/x", 1_000).answers, contains("NO_ROUTE"));
        assertThat(world.request("/get/x", "wrong", 1_000).answers, contains("NO_WORKSPACE"));
        assertThat(world.request("/get/x", null, 1_000).answers, contains("NO_WORKSPACE"));
        assertThat(world.calls.sent, is(empty()));
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"LOST", "GARBAGE", "TIMEOUT"})
    void sendsWhatMayNotBeRepeatedOnlyOnce(CallFailure failure) {
        RecordingExchange exchange = world.request("/post/x", 1_000);
        world.calls.last().fail(failure);
        world.advance(2_000);
        assertThat(world.calls.sent, hasSize(1));
        assertThat(exchange.answers, contains("LOST"));
    }

    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"NOT_SENT", "REFUSED", "LEAVING"})
    void sendsAgainWhatIsProvedNotToHaveRun(CallFailure failure) {
        RecordingExchange exchange = world.request("/post/x", 1_000);
        String first = world.calls.last().endpoint.name();
        world.calls.last().fail(failure);
        world.advance(50);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().endpoint.name(), is(not(first)));
        world.calls.last().answer(200);
        assertThat(exchange.answers, contains("200"));
    }

    @Test
    void saysNotRunOnlyIfEverySendIsProvedNotToHaveRun() {
        RecordingExchange exchange = world.request("/post/x", 1_000);
        for (int i = 0; i < 10 && exchange.answers.isEmpty(); i++) {
            world.calls.last().fail(CallFailure.REFUSED);
            world.advance(50);
        }
        assertThat(exchange.answers, contains("NOT_RUN"));
        RecordingExchange mixed = world.request("/post/x", 1_000);
        world.calls.last().fail(CallFailure.NOT_SENT);
        world.advance(50);
        world.calls.last().fail(CallFailure.LOST);
        assertThat(mixed.answers, contains("LOST"));
    }

    @Test
    void relaysAnEndpointsOwnFailureOfWhatMayNotBeRepeated() {
        RecordingExchange exchange = world.request("/post/x", 1_000);
        world.calls.last().answer(500);
        assertThat(exchange.answers, contains("500"));
        assertThat(world.calls.sent, hasSize(1));
    }

    @Test
    void repeatsAnIdempotentRequestUpToItsAttempts() {
        RecordingExchange exchange = world.request("/get/x", 1_000);
        world.calls.last().answer(500);
        world.calls.last().answer(500);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(exchange.answers, contains("500"));
    }

    @Test
    void repeatsNothingBeyondTheBudget() {
        RelayWorld poor = new RelayWorld(0);
        poor.instance.adopt(RelayWorld.config(1, "plain"));
        poor.listEndpoints();
        RecordingExchange exchange = poor.request("/get/x", 1_000);
        poor.calls.last().fail(CallFailure.LOST);
        poor.advance(100);
        assertThat(poor.calls.sent, hasSize(1));
        assertThat(exchange.answers, contains("LOST"));
    }

    @Test
    void asksAnotherEndpointIfOneIsSilent() {
        RecordingExchange exchange = world.request("/get/x", 1_000);
        world.advance(500);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.sent.get(0).cancelled, is(true));
        world.calls.last().answer(200);
        assertThat(exchange.answers, contains("200"));
    }

    // -----------------------------------------------------------------------

    @Test
    void handsOnWhatIsLeftOfTheDeadlineAndNoMore() {
        world.request("/get/x", 900);
        long first = world.calls.last().terms.remainingMillis();
        assertThat(first, is(lessThanOrEqualTo(900L)));
        world.advance(300);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().terms.remainingMillis(), is(lessThanOrEqualTo(first - 200)));
    }

    @Test
    void answersAtTheDeadlineAndCutsTheCall() {
        RecordingExchange exchange = world.request("/post/x", 700);
        world.advance(699);
        assertThat(exchange.answers, contains("TIMED_OUT"));
        assertThat(world.calls.last().cancelled, is(true));
        world.calls.last().answer(200);
        assertThat(exchange.answers, hasSize(1));
    }

    @Test
    void answersAtTheRoutesTimeoutIfTheCallerWaitsLonger() {
        RecordingExchange exchange = world.request("/post/x", 60_000);
        world.advance(4_000);
        assertThat(exchange.answers, contains("TIMED_OUT"));
    }

    @Test
    void cutsTheCallOfACallerThatLeft() {
        RecordingExchange exchange = world.request("/get/x", 1_000);
        world.instance.onCallerLeft(exchange);
        assertThat(world.calls.last().cancelled, is(true));
        assertThat(world.instance.getActive(), is(0));
        world.advance(2_000);
        assertThat(world.calls.sent, hasSize(1));
        assertThat(exchange.answers, is(empty()));
    }

    // -----------------------------------------------------------------------

    @Test
    void adoptsOnlyNewerConfigurations() {
        assertThat(world.instance.adopt(RelayWorld.config(1, "other")), is(false));
        assertThat(world.instance.adopt(RelayWorld.config(5, "other")), is(true));
        assertThat(world.instance.adopt(RelayWorld.config(3, "plain")), is(false));
        world.request("/get/x", 1_000);
        assertThat(world.calls.last().endpoint.service(), is("other"));
    }

    @Test
    void decidesARequestByOneConfiguration() {
        world.request("/get/x", 1_000);
        world.instance.adopt(RelayWorld.config(2, "other"));
        world.calls.last().fail(CallFailure.LOST);
        world.advance(50);
        assertThat(world.calls.last().endpoint.service(), is("plain"));
    }

    @Test
    void sendsNothingToAnEndpointThatLeft() {
        world.instance.onLeaving("p0");
        for (int i = 0; i < 30; i++) {
            world.request("/get/x", 1_000);
        }
        assertThat(
                world.calls.sent.stream().map(s -> s.endpoint.name()).distinct().toList(), everyItem(not("p0")));
    }

    @Test
    void servesARestartedEndpointUnderItsOldName() {
        world.instance.onLeaving("p0");
        List<org.fuchsiawharf.core.model.EndpointStatus> again = new ArrayList<>();
        again.add(new org.fuchsiawharf.core.model.EndpointStatus(
                RelayWorld.status("p0", "plain", 10).endpoint(), false, 2));
        world.instance.onEndpoints(again);
        world.request("/get/x", 1_000);
        assertThat(world.calls.last().endpoint.name(), is("p0"));
    }

    @Test
    void refusesAtOnceIfNoEndpointIsListed() {
        world.instance.onEndpoints(List.of());
        RecordingExchange exchange = world.request("/post/x", 1_000);
        assertThat(exchange.answers, contains("NOT_RUN"));
        assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
    }

    // -----------------------------------------------------------------------

    @Test
    void endsAStreamOnce() {
        RecordingExchange exchange = world.request("/chat/x", 3_000);
        world.calls.last().listener.onStreamStarted();
        world.calls.last().listener.onStreamEnded(5);
        world.advance(5_000);
        assertThat(exchange.answers, contains("stream"));
    }

    @Test
    void resumesAStreamAtAnotherEngine() {
        RecordingExchange exchange = world.request("/chat/x", 3_000);
        String first = world.calls.last().endpoint.name();
        world.calls.last().listener.onStreamStarted();
        world.calls.last().fail(CallFailure.LOST);
        world.advance(50);
        assertThat(world.calls.last().endpoint.name(), is(not(first)));
        world.calls.last().listener.onStreamEnded(3);
        assertThat(exchange.answers, contains("stream"));
    }

    @Test
    void breaksOffAStreamThatMayNotBeResumed() {
        RecordingExchange exchange = world.request("/verdict/x", 3_000);
        world.calls.last().listener.onStreamStarted();
        world.calls.last().fail(CallFailure.LOST);
        world.advance(50);
        assertThat(world.calls.sent, hasSize(1));
        assertThat(exchange.answers, contains("broken"));
    }

    @Test
    void resumesAStreamWhoseEngineFellSilent() {
        world.request("/chat/x", 3_900);
        world.calls.last().listener.onStreamStarted();
        world.advance(1_000);
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.sent.get(0).cancelled, is(true));
    }

    @Test
    void keepsASessionAtOneEngine() {
        for (int i = 0; i < 20; i++) {
            world.request("/chat/x", 3_000);
            world.calls.last().listener.onStreamEnded(1);
        }
        assertThat(
                world.calls.sent.stream().map(s -> s.endpoint.name()).distinct().toList(), hasSize(1));
    }

    // -----------------------------------------------------------------------

    @Test
    void sendsARequestOnceItsStagesAreDoneWithTheirResultsInOrder() {
        world.request("/staged/x", 3_000, 1, 3);
        assertThat(world.calls.sent, is(empty()));
        world.makePieces();
        assertThat(world.calls.sent, hasSize(1));
        List<String> inputs = Objects.requireNonNull(world.calls.last().terms.inputs());
        assertThat(inputs, hasSize(3));
        for (int i = 0; i < 3; i++) {
            assertThat(inputs.get(i).endsWith("r0-1-" + i), is(true));
        }
    }

    @Test
    void givesALaterStageAllResultsOfTheEarlierOneAndNoKey() {
        world.request("/staged/x", 3_000, 2, 1);
        world.pieces.getSent().get(0).make();
        PieceOrder later = world.pieces.last().getOrders().get(0);
        assertThat(later.id().stage(), is(1));
        assertThat(later.key(), is(org.hamcrest.Matchers.nullValue()));
        assertThat(later.inputs(), hasSize(2));
        assertThat(later.inputs(), everyItem(startsWith("10.0.0.")));
        assertThat(world.pieces.getSent().get(0).getOrders().get(0).key(), is("piece-key"));
    }

    @Test
    void leavesOutAStageWithoutPieces() {
        world.request("/staged/x", 3_000, 0, 0);
        assertThat(world.pieces.getSent(), is(empty()));
        assertThat(world.calls.sent, hasSize(1));
    }

    @Test
    void releasesResultsOnceTheEngineHasThem() {
        world.request("/staged/x", 3_000, 1, 2);
        world.makePieces();
        world.calls.last().listener.onStreamStarted();
        world.advance(200);
        assertThat(world.pieces.getFreed(), hasSize(3));
    }

    @Test
    void releasesResultsOfACallerThatLeft() {
        RecordingExchange exchange = world.request("/staged/x", 3_000, 2, 1);
        world.pieces.getSent().get(0).make();
        world.instance.onCallerLeft(exchange);
        world.pieces.last().make();
        world.advance(200);
        assertThat(world.pieces.getFreed(), hasSize(3));
        assertThat(world.calls.sent, is(empty()));
    }

    @Test
    void makesResultsAgainThatAreGone() {
        world.request("/staged/x", 3_000, 1, 1);
        world.pieces.getSent().get(0).make();
        world.pieces.last().answer(AnswerKind.INPUT_GONE);
        assertThat(world.pieces.last().getOrders().get(0).id().stage(), is(0));
        world.pieces.last().make();
        assertThat(world.pieces.last().getOrders().get(0).id().stage(), is(1));
        world.pieces.last().make();
        assertThat(world.calls.sent, hasSize(1));
    }

    @Test
    void makesTheWholeChainAgainIfTheEngineMissesResults() {
        world.request("/staged/x", 3_000, 1, 1);
        world.makePieces();
        world.calls.last().fail(CallFailure.INPUTS_GONE);
        world.makePieces();
        assertThat(world.calls.sent, hasSize(2));
        assertThat(world.calls.last().terms.inputs(), hasSize(1));
    }

    @Test
    void makesStagesAgainForAResumedStream() {
        RecordingExchange exchange = world.request("/staged/x", 3_000, 1, 1);
        world.makePieces();
        world.calls.last().listener.onStreamStarted();
        world.calls.last().fail(CallFailure.LOST);
        world.advance(50);
        world.makePieces();
        assertThat(world.calls.sent, hasSize(2));
        world.calls.last().listener.onStreamEnded(2);
        assertThat(exchange.answers, contains("stream"));
    }

    @Test
    void refusesAsNotRunIfAStageFails() {
        RecordingExchange exchange = world.request("/staged/x", 3_000, 1, 1);
        for (int i = 0; i < 3; i++) {
            world.pieces.last().answer(AnswerKind.ERROR);
        }
        assertThat(exchange.answers, contains("NOT_RUN"));
    }

    @Test
    void refusesAtOnceWhatTheBacklogMakesHopeless() {
        for (int i = 0; i < 40; i++) {
            world.request("/staged/x", 3_900, 8, 8);
        }
        RecordingExchange last = world.request("/staged/x", 3_900, 8, 8);
        assertThat(last.answers, contains("NOT_RUN"));
        assertThat(last.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
    }

    @Test
    void writesALineForEachRequest() {
        world.request("/get/x", 1_000);
        world.calls.last().answer(200);
        world.request("/none/x", 1_000);
        assertThat(world.lines.stream().filter("request.ended"::equals).count(), is(1L));
        assertThat(world.lines.stream().filter("request.refused"::equals).count(), is(1L));
    }
}
