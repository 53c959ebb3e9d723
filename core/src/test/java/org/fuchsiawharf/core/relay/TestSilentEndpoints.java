package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Tests silences of sound endpoints, after which the endpoints go on. */
class TestSilentEndpoints {
    private static final long SILENCE_MILLIS = 1_200;
    private static final long START_SILENCE_MILLIS = 1_800;

    private final RelayInstanceFixture fixture = RelayInstanceFixture.configured();

    private void assertKept(FakeEndpointCalls.SentCall call) {
        assertThat(call.cancelled, is(false));
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(fixture.loggedEvents.contains("endpoint.ejected"), is(false));
    }

    // -----------------------------------------------------------------------

    @Test
    void streamOfOnlyEndpointIsNotCancelledBySilence() {
        fixture.listEndpoints("g1");
        RecordingExchange exchange = fixture.request("/chat/x", 3_900);
        fixture.calls.last().listener.onStreamStarted();
        fixture.advance(SILENCE_MILLIS);
        assertKept(fixture.calls.sent.get(0));
        fixture.calls.last().listener.onStreamEnded(2);
        assertThat(exchange.outcomes, contains("stream"));
    }

    @Test
    void streamOfOnlyEndpointOfItsVersionIsNotCancelledBySilence() {
        fixture.instance.getEndpointUpdates().onEndpoints(List.of(engine(0, "v1")));
        RecordingExchange exchange = fixture.request("/chat/x", 3_900);
        fixture.calls.last().listener.onStreamStarted();
        fixture.instance.getEndpointUpdates().onEndpoints(List.of(engine(0, "v1"), engine(1, "v2")));
        fixture.advance(SILENCE_MILLIS);
        assertKept(fixture.calls.sent.get(0));
        fixture.calls.last().listener.onStreamEnded(2);
        assertThat(exchange.outcomes, contains("stream"));
    }

    @Test
    void streamOfOnlyEndpointIsNotCancelledBeforeItsFirstEvent() {
        fixture.listEndpoints("g1");
        fixture.request("/chat/x", 3_900);
        fixture.advance(START_SILENCE_MILLIS);
        assertKept(fixture.calls.sent.get(0));
    }

    @Test
    void responseOfOnlyEndpointIsNotCancelledBySilence() {
        fixture.listEndpoints("p1", "p2");
        RecordingExchange exchange = fixture.request("/get/x", 3_000);
        fixture.advance(SILENCE_MILLIS);
        assertKept(fixture.calls.sent.get(0));
        fixture.calls.last().respond(200);
        assertThat(exchange.outcomes, contains("200"));
    }

    @Test
    void silentStreamIsResumedOnceAnotherEndpointServes() {
        fixture.listEndpoints("g1");
        fixture.request("/chat/x", 3_900);
        fixture.calls.last().listener.onStreamStarted();
        fixture.advance(SILENCE_MILLIS);
        fixture.listEndpoints();
        fixture.advance(400);
        assertThat(fixture.calls.sent.get(0).cancelled, is(true));
        assertThat(fixture.calls.last().endpoint.name(), is("g1"));
    }

    @Test
    void silentStreamOfOnlyEndpointIsBrokenOffAtItsDeadline() {
        fixture.listEndpoints("g1");
        RecordingExchange exchange = fixture.request("/chat/x", 3_000);
        fixture.calls.last().listener.onStreamStarted();
        fixture.advance(3_000);
        assertThat(exchange.outcomes, contains("broken"));
    }

    private static RelayInstanceFixture withoutRetryBudget() {
        RelayInstanceFixture withoutBudget = new RelayInstanceFixture(0);
        withoutBudget.instance.applyConfig(RelayInstanceFixture.config(1, "plain"));
        withoutBudget.listEndpoints();
        return withoutBudget;
    }

    @Test
    void silentStreamIsNotBrokenOffForWantOfRetryBudget() {
        RelayInstanceFixture withoutBudget = withoutRetryBudget();
        RecordingExchange exchange = withoutBudget.request("/chat/x", 3_900);
        withoutBudget.calls.last().listener.onStreamStarted();
        withoutBudget.advance(SILENCE_MILLIS);
        withoutBudget.calls.last().listener.onStreamEnded(2);
        assertThat(exchange.outcomes, contains("stream"));
    }

    @Test
    void silentResponseIsNotLostForWantOfRetryBudget() {
        RelayInstanceFixture withoutBudget = withoutRetryBudget();
        RecordingExchange exchange = withoutBudget.request("/get/x", 3_000);
        withoutBudget.advance(SILENCE_MILLIS);
        withoutBudget.calls.last().respond(200);
        assertThat(exchange.outcomes, contains("200"));
    }

    private static EndpointStatus engine(int index, String version) {
        return new EndpointStatus(
                new Endpoint("g" + index, "engine", "a", "10.0.0." + (30 + index), 80), false, 1, version);
    }
}
