package org.fuchsiawharf.core.relay;

import java.util.List;
import java.util.Objects;
import java.util.function.BiConsumer;
import java.util.stream.Stream;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.retry.HedgeDelay;
import org.fuchsiawharf.core.retry.HedgeLimits;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.time.TimerService;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.nullValue;

/** Tests the hedges of a service whose usual response time is {@link #USUAL_MILLIS}. */
class TestHedgedRequests {
    private static final long MILLI = RelayInstanceFixture.MILLI;
    private static final long USUAL_MILLIS = 40;
    /** The delay of a hedge, a quarter above the largest sample. */
    private static final long DELAY_MILLIS = 50;
    /** The number of samples below which no request is hedged. */
    private static final int WARM_UP_REQUESTS = 20;

    private RelayInstanceFixture fixture = warmedUp(new HedgeLimits(0.2, 0.2), 1_000, WARM_UP_REQUESTS);

    private static RelayInstanceFixture warmedUp(HedgeLimits limits, double retryAllowance, int requests) {
        RelayInstanceFixture warm = RelayInstanceFixture.hedging(new TimerService(0), limits, retryAllowance, null);
        for (int i = 0; i < requests; i++) {
            warm.request("/get/x", 3_000);
            warm.advance(USUAL_MILLIS);
            warm.calls.last().respond(200);
        }
        warm.calls.sent.clear();
        return warm;
    }

    private FakeEndpointCalls.SentCall call(int index) {
        return fixture.calls.sent.get(index);
    }

    private static EndpointState endpoint(RelayInstanceFixture of, String name) {
        return Objects.requireNonNull(of.context.table().getEndpoint(name));
    }

    private HedgeDelay.Estimate estimate() {
        return Objects.requireNonNull(fixture.context.hedging().delay().estimate("plain"));
    }

    private RecordingExchange requestAndHedge() {
        RecordingExchange exchange = fixture.request("/get/x", 3_000);
        fixture.advance(DELAY_MILLIS);
        assertThat(fixture.calls.sent, hasSize(2));
        return exchange;
    }

    private void assertNotHedged(String reason) {
        fixture.advance(DELAY_MILLIS);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(fixture.counts.get("hedges_denied:" + reason), is(1L));
        assertThat(fixture.loggedEvents, hasItem("request.not_hedged"));
    }

    // -----------------------------------------------------------------------

    @Test
    void sendsSecondAttemptToAnotherEndpointAfterDelay() {
        fixture.request("/get/x", 3_000);
        fixture.advance(DELAY_MILLIS - 1);
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.advance(1);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(call(1).endpoint, is(not(call(0).endpoint)));
        assertThat(call(1).terms.remainingMillis(), is(call(0).terms.remainingMillis() - DELAY_MILLIS));
        assertThat(fixture.loggedEvents, hasItem("request.hedged"));
    }

    // An instance without the setting must send and log what it did before.
    @Test
    void sendsOneAttemptIfHedgesAreOff() {
        fixture = warmedUp(HedgeLimits.OFF, 1_000, 2 * WARM_UP_REQUESTS);
        fixture.request("/get/x", 3_000);
        fixture.advance(DELAY_MILLIS + 100);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(
                fixture.counts.keySet().stream()
                        .filter(name -> name.startsWith("hedge"))
                        .toList(),
                is(empty()));
    }

    // A delay from a few samples would hedge usual calls.
    @Test
    void sendsOneAttemptWithTooFewSamples() {
        fixture = warmedUp(new HedgeLimits(0.2, 0.2), 1_000, WARM_UP_REQUESTS - 1);
        fixture.request("/get/x", 3_000);
        fixture.advance(DELAY_MILLIS + 100);
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @ParameterizedTest
    @ValueSource(strings = {"/post/x", "/chat/x", "/verdict/x"})
    void sendsOneAttemptOfStreamOrNonIdempotentRequest(String path) {
        fixture.request(path, 3_000);
        fixture.advance(DELAY_MILLIS + 100);
        assertThat(fixture.calls.sent, hasSize(1));
    }

    // -----------------------------------------------------------------------

    // The late response of the cancelled call must not reach the caller as a second response.
    @Test
    void relaysResponseOfHedgeOnce() {
        RecordingExchange exchange = requestAndHedge();
        fixture.advance(5);
        call(1).respond(200);
        assertThat(call(0).cancelled, is(true));
        call(0).respond(201);
        assertThat(exchange.outcomes, contains("200"));
        assertThat(fixture.counts.get("hedges:won"), is(1L));
        assertThat(fixture.counts.get("hedge_extra_seconds:plain"), is((DELAY_MILLIS + 5) * MILLI));
        assertThat(fixture.instance.getActive(), is(0));
    }

    @Test
    void relaysResponseOfFirstAttemptOnceAndCancelsHedge() {
        RecordingExchange exchange = requestAndHedge();
        fixture.advance(5);
        call(0).respond(200);
        assertThat(call(1).cancelled, is(true));
        call(1).respond(201);
        assertThat(exchange.outcomes, contains("200"));
        assertThat(fixture.counts.get("hedges:lost"), is(1L));
        assertThat(fixture.counts.get("hedge_extra_seconds:plain"), is(5 * MILLI));
    }

    @Test
    void cancelsBothAttemptsWhenCallerLeaves() {
        RecordingExchange exchange = requestAndHedge();
        fixture.instance.onCallerLeft(exchange);
        assertThat(call(0).cancelled, is(true));
        assertThat(call(1).cancelled, is(true));
        assertThat(exchange.outcomes, is(empty()));
        assertThat(fixture.counts.get("hedges:cancelled"), is(1L));
    }

    @Test
    void timesOutOnceAndCancelsBothAttemptsAtDeadline() {
        RecordingExchange exchange = requestAndHedge();
        fixture.advance(3_000);
        assertThat(exchange.outcomes, contains("TIMED_OUT"));
        assertThat(call(0).cancelled, is(true));
        assertThat(call(1).cancelled, is(true));
    }

    // A retry beside the hedge would be a third call of a request that allows two attempts.
    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"LOST", "NOT_SENT", "REFUSED", "ERROR"})
    void hedgeGoesOnWithoutRetryIfFirstAttemptFails(CallFailure failure) {
        RecordingExchange exchange = requestAndHedge();
        call(0).fail(failure);
        fixture.advance(20);
        assertThat(fixture.calls.sent, hasSize(2));
        call(1).respond(200);
        assertThat(exchange.outcomes, contains("200"));
        assertThat(
                fixture.counts.keySet().stream()
                        .filter(name -> name.startsWith("resends"))
                        .toList(),
                is(empty()));
    }

    @ParameterizedTest
    @EnumSource(
            value = CallFailure.class,
            names = {"LOST", "NOT_SENT", "REFUSED", "LEAVING"})
    void firstAttemptGoesOnIfHedgeFails(CallFailure failure) {
        RecordingExchange exchange = requestAndHedge();
        call(1).fail(failure);
        fixture.advance(20);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(call(0).cancelled, is(false));
        call(0).respond(200);
        assertThat(exchange.outcomes, contains("200"));
        assertThat(fixture.counts.get("hedges:failed"), is(1L));
    }

    // An error or a rejection that comes first is not the response of a request that another endpoint still runs.
    @ParameterizedTest
    @ValueSource(ints = {500, 503, 429, 408})
    void errorOrRejectionIsNotRelayedWhileOtherAttemptRuns(int status) {
        RecordingExchange exchange = requestAndHedge();
        call(1).respond(status);
        assertThat(exchange.outcomes, is(empty()));
        call(0).respond(200);
        assertThat(exchange.outcomes, contains("200"));
    }

    @Test
    void requestIsLostOnceIfBothAttemptsAreLost() {
        RecordingExchange exchange = requestAndHedge();
        call(0).fail(CallFailure.LOST);
        call(1).fail(CallFailure.LOST);
        fixture.advance(20);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(exchange.outcomes, contains("LOST"));
    }

    @Test
    void requestIsLostIfOneAttemptWasLostAndTheOthersWereRejected() {
        RecordingExchange exchange = requestAndHedge();
        call(1).fail(CallFailure.REFUSED);
        call(0).fail(CallFailure.LOST);
        fixture.advance(20);
        call(2).fail(CallFailure.REFUSED);
        fixture.advance(20);
        call(3).fail(CallFailure.REFUSED);
        fixture.advance(20);
        call(4).fail(CallFailure.REFUSED);
        assertThat(fixture.calls.sent, hasSize(5));
        assertThat(exchange.outcomes, contains("LOST"));
    }

    @Test
    void retryAfterLossLeavesNoAttemptForHedge() {
        fixture.request("/get/x", 3_000);
        call(0).fail(CallFailure.LOST);
        fixture.advance(5);
        assertThat(fixture.calls.sent, hasSize(2));
        fixture.advance(DELAY_MILLIS);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.counts.get("hedges_denied:no_attempts_left"), is(1L));
    }

    // -----------------------------------------------------------------------

    private static Stream<Arguments> obstacles() {
        BiConsumer<RelayInstanceFixture, String> leaving =
                (f, name) -> f.instance.getEndpointUpdates().onLeaving(name);
        BiConsumer<RelayInstanceFixture, String> limited =
                (f, name) -> f.instance.getEndpointUpdates().onRequestLimit(name, 1_000, f.timers.now());
        BiConsumer<RelayInstanceFixture, String> paused =
                (f, name) -> f.instance.getEndpointUpdates().onPauseRequested(name, 1_000 * MILLI);
        BiConsumer<RelayInstanceFixture, String> brittle =
                (f, name) -> f.instance.getEndpointUpdates().onBrittle(name, 5, f.timers.now());
        BiConsumer<RelayInstanceFixture, String> ejected = (f, name) -> {
            EndpointState state = endpoint(f, name);
            state.eject(f.timers.now() + 1_000 * MILLI);
        };
        BiConsumer<RelayInstanceFixture, String> probed = (f, name) -> {
            EndpointState state = endpoint(f, name);
            state.eject(f.timers.now());
            state.allowProbe(f.timers.now());
        };
        BiConsumer<RelayInstanceFixture, String> full =
                (f, name) -> f.instance.getEndpointUpdates().onLoadReport(name, 6, 0, 6);
        return Stream.of(leaving, limited, paused, brittle, ejected, probed, full)
                .map(Arguments::of);
    }

    // A hedge must not be the request that an endpoint in difficulties cannot bear.
    @ParameterizedTest
    @MethodSource("obstacles")
    void sendsNoHedgeToUnsoundEndpoint(BiConsumer<RelayInstanceFixture, String> obstacle) {
        fixture.request("/get/x", 3_000);
        Stream.of("p0", "p1", "p2")
                .filter(name -> !name.equals(call(0).endpoint.name()))
                .forEach(name -> obstacle.accept(fixture, name));
        fixture.advance(DELAY_MILLIS);
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void sendsNoHedgeToFullService() {
        fixture.request("/get/x", 3_000);
        List.of("p0", "p1", "p2")
                .forEach(name -> fixture.instance.getEndpointUpdates().onLoadReport(name, 5, 1, 6));
        assertNotHedged("service_full");
    }

    @Test
    void sendsNoHedgeOfSuspectedRequest() {
        fixture.request("/get/x", 3_000);
        fixture.quarantine.onLost(List.of(Suspect.ofPart("session")), 1, "p9");
        assertNotHedged("suspected");
    }

    @Test
    void sendsNoHedgeThatCannotEndInTime() {
        fixture.request("/get/x", 90);
        assertNotHedged("late");
    }

    // Half of the retry budget is left to retries, which keep requests from failing.
    @Test
    void sendsNoHedgeIfLessThanHalfOfRetryBudgetWouldBeLeft() {
        fixture = warmedUp(new HedgeLimits(0.2, 0.2), 0, WARM_UP_REQUESTS);
        requestAndHedge();
        call(1).respond(200);
        fixture.calls.sent.clear();
        fixture.request("/get/x", 3_000);
        assertNotHedged("retries_spent");
        assertThat(fixture.context.budget().canSpend("plain"), is(true));
    }

    @Test
    void sendsNoHedgeIfShareIsSpent() {
        fixture = warmedUp(new HedgeLimits(0.05, 0.05), 1_000, WARM_UP_REQUESTS);
        requestAndHedge();
        call(1).respond(200);
        fixture.calls.sent.clear();
        fixture.request("/get/x", 3_000);
        assertNotHedged("share_spent");
    }

    // -----------------------------------------------------------------------

    // An endpoint that always loses to hedges would be selected again and again if its slow calls were not seen.
    @Test
    void cancelledSlowAttemptRaisesEstimateAndIsNoFailureOfEndpoint() {
        for (int i = 0; i < 2; i++) {
            requestAndHedge();
            EndpointState slow = endpoint(fixture, call(0).endpoint.name());
            fixture.advance(100);
            double before = slow.getServiceTime().getMean();
            call(1).respond(200);
            assertThat(slow.getServiceTime().getMean(), is(greaterThan(before)));
            assertThat(slow.isEjected(), is(false));
            assertThat(slow.getInFlight(), is(0));
            fixture.calls.sent.clear();
        }
        assertThat(fixture.loggedEvents, not(hasItem("call.failed")));
    }

    // Without the times of cancelled attempts, each hedge that wins would lower the delay of the next ones.
    @Test
    void delayDoesNotFallThroughHedgesThatWin() {
        long delayNanos = estimate().delayNanos();
        requestAndHedge();
        call(1).respond(200);
        assertThat(delayNanos, is(lessThanOrEqualTo(estimate().delayNanos())));
        assertThat(estimate().samples(), is(WARM_UP_REQUESTS + 1));
    }

    @Test
    void requestOfCallerWhoLeftBeforeDelayIsNoSample() {
        RecordingExchange exchange = fixture.request("/get/x", 3_000);
        fixture.advance(1);
        fixture.instance.onCallerLeft(exchange);
        assertThat(estimate().samples(), is(WARM_UP_REQUESTS));
        assertThat(fixture.context.hedging().delay().estimate("other"), is(nullValue()));
    }
}
