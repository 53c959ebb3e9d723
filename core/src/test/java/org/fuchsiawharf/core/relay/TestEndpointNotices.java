package org.fuchsiawharf.core.relay;

import java.util.Collections;
import java.util.List;
import java.util.Objects;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.routing.Brittleness;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

class TestEndpointNotices {
    private static final long PAUSE_MILLIS = 3_000;
    private static final int REQUESTS = 30;
    private static final List<String> ENDPOINTS = List.of("p0", "p1", "p2");

    private final RelayInstanceFixture fixture = RelayInstanceFixture.configured();

    private List<String> endpointsOf(int requests) {
        int before = fixture.calls.sent.size();
        for (int i = 0; i < requests; i++) {
            fixture.request("/get/x", 1_000);
            fixture.calls.last().respond(200);
            fixture.advance(10);
        }
        return fixture.calls.sent.subList(before, fixture.calls.sent.size()).stream()
                .map(call -> call.endpoint.name())
                .toList();
    }

    private void listNoOtherThan(String endpoint) {
        fixture.listEndpoints(
                ENDPOINTS.stream().filter(other -> !other.equals(endpoint)).toArray(String[]::new));
    }

    private void pause(String endpoint) {
        fixture.instance.getEndpointUpdates().onPauseRequested(endpoint, PAUSE_MILLIS * 1_000_000L);
    }

    // Requests were sent to an endpoint whose responses stated that it leaves.
    @Test
    void endpointThatStatesThatItLeavesReceivesNoRequest() {
        String first = endpointsOf(1).get(0);
        fixture.instance.getEndpointUpdates().onLeaving(first);
        assertThat(endpointsOf(REQUESTS), not(hasItem(first)));
        // The entry in the store may still be that of a ready endpoint.
        fixture.listEndpoints();
        assertThat(endpointsOf(REQUESTS), not(hasItem(first)));
    }

    // Requests were sent to an endpoint that had refused one with 503 and a Retry-After.
    @Test
    void endpointThatAskedForPauseReceivesNoRequestUntilItsEnd() {
        String first = endpointsOf(1).get(0);
        pause(first);
        assertThat(endpointsOf(REQUESTS), not(hasItem(first)));
        fixture.advance(PAUSE_MILLIS);
        assertThat(endpointsOf(REQUESTS), hasItem(first));
    }

    @Test
    void refusedRequestGoesToAnEndpointThatDoesNotPause() {
        fixture.request("/get/x", 1_000);
        FakeEndpointCalls.SentCall refused = fixture.calls.last();
        pause(refused.endpoint.name());
        refused.fail(CallFailure.REFUSED);
        fixture.advance(50);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(fixture.calls.last().endpoint.name(), is(not(refused.endpoint.name())));
    }

    @Test
    void requestIsRefusedAtOnceWhileAllEndpointsPause() {
        ENDPOINTS.forEach(this::pause);
        RecordingExchange exchange = fixture.request("/get/x", 10_000);
        assertThat(exchange.outcomes, contains("NOT_RUN"));
        assertThat(exchange.refusals.get(0).retryAfterMillis(), is(greaterThanOrEqualTo(PAUSE_MILLIS)));
        assertThat(fixture.calls.sent, is(empty()));
    }

    // A pause ends early neither by a shorter one nor by the absence of a request limit.
    @Test
    void laterEndOfPauseIsKept() {
        String first = endpointsOf(1).get(0);
        pause(first);
        fixture.instance.getEndpointUpdates().onPauseRequested(first, 1);
        fixture.instance.getEndpointUpdates().onRequestLimit(first, 0, Long.MAX_VALUE);
        assertThat(endpointsOf(REQUESTS), not(hasItem(first)));
    }

    // -----------------------------------------------------------------------

    @Test
    void endpointThatLeavesReceivesNoRequestAfterItsEntryExpiredAndReturned() {
        String first = endpointsOf(1).get(0);
        fixture.instance.getEndpointUpdates().onLeaving(first);
        fixture.listEndpoints(first);
        fixture.listEndpoints();
        assertThat(endpointsOf(REQUESTS), not(hasItem(first)));
    }

    @Test
    void endpointThatPausesReceivesNoRequestAfterItsEntryExpiredAndReturned() {
        String first = endpointsOf(1).get(0);
        pause(first);
        fixture.listEndpoints(first);
        fixture.listEndpoints();
        assertThat(endpointsOf(REQUESTS), not(hasItem(first)));
        fixture.advance(PAUSE_MILLIS);
        listNoOtherThan(first);
        assertThat(endpointsOf(1), contains(first));
    }

    @Test
    void endpointAbsentDuringCallReceivesRequestsOnceItIsListedAgain() {
        fixture.request("/get/x", 1_000);
        FakeEndpointCalls.SentCall call = fixture.calls.last();
        String name = call.endpoint.name();
        fixture.listEndpoints(name);
        assertThat(endpointsOf(REQUESTS), not(hasItem(name)));
        listNoOtherThan(name);
        call.respond(200);
        assertThat(endpointsOf(1), contains(name));
    }

    // -----------------------------------------------------------------------

    private Brittleness brittleness() {
        return Objects.requireNonNull(fixture.context.table().getEndpoint("p0")).getBrittleness();
    }

    private void listIncarnation(long incarnation) {
        Endpoint endpoint = RelayInstanceFixture.status("p0", "plain", 10).endpoint();
        fixture.instance.getEndpointUpdates().onEndpoints(List.of(new EndpointStatus(endpoint, false, incarnation)));
    }

    @Test
    void endpointIsBrittleUntilResponseToLaterRequestDoesNotSaySo() {
        fixture.advance(100);
        long sentNanos = fixture.timers.now();
        fixture.advance(10);
        fixture.instance.getEndpointUpdates().onBrittle("p0", 4, sentNanos);
        fixture.instance.getEndpointUpdates().onBrittle("p0", 4, sentNanos);
        fixture.instance.getEndpointUpdates().onBrittle("p0", Brittleness.NONE, sentNanos);
        assertThat(brittleness().getMaxRejections(), is(4.0));
        fixture.instance.getEndpointUpdates().onBrittle("p0", Brittleness.NONE, fixture.timers.now());
        assertThat(brittleness().isNamed(), is(false));
        assertThat(Collections.frequency(fixture.loggedEvents, "endpoint.brittle_changed"), is(2));
    }

    @Test
    void restartedEndpointIsNotBrittleUntilItSaysSo() {
        listIncarnation(1);
        fixture.instance.getEndpointUpdates().onBrittle("p0", 4, 0);
        fixture.instance.getEndpointUpdates().onEndpoints(List.of());
        listIncarnation(1);
        assertThat(brittleness().isNamed(), is(true));
        listIncarnation(2);
        assertThat(brittleness().isNamed(), is(false));
    }
}
