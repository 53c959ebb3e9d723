package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.port.CallFailure;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class TestStreamVersion {
    private static final int STREAMS = 40;

    private final RelayInstanceFixture fixture = RelayInstanceFixture.configured();

    private static EndpointStatus engine(String name, int host, String version) {
        return new EndpointStatus(new Endpoint(name, "engine", "a", "10.0.0." + host, 80), false, 1, version);
    }

    private void list(int ofFirstVersion, int ofSecondVersion) {
        List<EndpointStatus> engines = new ArrayList<>();
        for (int i = 0; i < ofFirstVersion; i++) {
            engines.add(engine("v1-" + i, 30 + i, "v1"));
        }
        for (int i = 0; i < ofSecondVersion; i++) {
            engines.add(engine("v2-" + i, 40 + i, "v2"));
        }
        fixture.instance.getEndpointUpdates().onEndpoints(engines);
    }

    private static String versionOf(FakeEndpointCalls.SentCall call) {
        return call.endpoint.name().substring(0, 2);
    }

    // -----------------------------------------------------------------------

    @Test
    void streamThatBreaksIsNotJoinedFromTwoVersions() {
        list(2, 4);
        for (int i = 0; i < STREAMS; i++) {
            fixture.request("/chat/x", 4_000);
            FakeEndpointCalls.SentCall first = fixture.calls.last();
            first.listener.onStreamStarted();
            first.fail(CallFailure.LOST);
            fixture.advance(50);
            assertThat(versionOf(fixture.calls.last()), is(versionOf(first)));
            fixture.calls.last().listener.onStreamEnded(1);
        }
    }

    @Test
    void streamThatHasNotBegunGoesToAnyVersion() {
        list(1, 1);
        fixture.request("/chat/x", 4_000);
        String first = versionOf(fixture.calls.last());
        fixture.calls.last().fail(CallFailure.REFUSED);
        fixture.advance(50);
        assertThat(versionOf(fixture.calls.last()).equals(first), is(false));
    }

    @Test
    void streamIsBrokenOffAtOnceIfNoEndpointOfItsVersionAcceptsIt() {
        list(1, 0);
        RecordingExchange exchange = fixture.request("/chat/x", 4_000);
        fixture.calls.last().listener.onStreamStarted();
        list(0, 3);
        fixture.calls.last().fail(CallFailure.LOST);
        fixture.advance(50);
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(exchange.outcomes, contains("broken"));
    }
}
