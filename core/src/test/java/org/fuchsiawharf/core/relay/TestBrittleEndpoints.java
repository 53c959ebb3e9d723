package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.port.CallFailure;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

class TestBrittleEndpoints {
    private static final double MAX_REJECTIONS = 4;

    private final RelayInstanceFixture fixture = RelayInstanceFixture.configured();

    private void nameAll(String... endpoints) {
        for (String endpoint : endpoints) {
            fixture.instance.getEndpointUpdates().onLoadReport(endpoint, 0, 0, 1);
            fixture.instance.getEndpointUpdates().onBrittle(endpoint, MAX_REJECTIONS, 0);
        }
    }

    // Requests beyond the slots of brittle endpoints were sent, and made them fail by rejecting too many.
    @Test
    void requestBeyondSlotsOfBrittleEndpointsIsRefusedAtOnceAsNotRun() {
        nameAll("p0", "p1", "p2");
        for (int i = 0; i < 3; i++) {
            fixture.request("/get/x", 1_000);
        }
        assertThat(fixture.calls.sent, hasSize(3));
        RecordingExchange refused = fixture.request("/get/x", 1_000);
        assertThat(refused.outcomes, contains("NOT_RUN"));
        assertThat(refused.refusals.get(0).retryAfterMillis(), is(greaterThan(0L)));
        assertThat(fixture.calls.sent, hasSize(3));
        fixture.calls.sent.get(1).respond(200);
        fixture.request("/get/x", 1_000);
        assertThat(fixture.calls.sent, hasSize(4));
    }

    // A request that one brittle endpoint had rejected was sent to the next one, which was full too.
    @Test
    void rejectedRequestIsRefusedAsNotRunIfTheOthersAreFull() {
        nameAll("p0", "p1", "p2");
        fixture.request("/get/x", 1_000);
        fixture.request("/get/x", 1_000);
        RecordingExchange rejected = fixture.request("/post/x", 1_000);
        fixture.calls.last().fail(CallFailure.REFUSED);
        fixture.advance(50);
        assertThat(rejected.outcomes, contains("NOT_RUN"));
        assertThat(fixture.calls.sent, hasSize(3));
    }

    @Test
    void requestWithStagesWaitsForRoomAtBrittleEndpoints() {
        nameAll("g0", "g1");
        fixture.request("/staged/x", 3_000, 1, 1);
        fixture.producePieces();
        fixture.request("/staged/x", 3_000, 1, 1);
        RecordingExchange stream = fixture.request("/chat/x", 3_000);
        fixture.producePieces();
        fixture.advance(100);
        assertThat(fixture.calls.sent, hasSize(2));
        assertThat(List.of(fixture.calls.sent.get(1).exchange), contains(stream));
        fixture.calls.sent.get(0).listener.onStreamStarted();
        fixture.calls.sent.get(0).listener.onStreamEnded(1);
        fixture.advance(100);
        assertThat(fixture.calls.sent, hasSize(3));
    }

    @Test
    void requestsWithStagesBeyondRoomAtBrittleEndpointsAreRefusedAtOnce() {
        nameAll("g0", "g1");
        RecordingExchange first = fixture.request("/staged/x", 3_000, 1, 1);
        RecordingExchange second = fixture.request("/staged/x", 3_000, 1, 1);
        RecordingExchange third = fixture.request("/staged/x", 3_000, 1, 1);
        assertThat(third.outcomes, contains("NOT_RUN"));
        fixture.instance.onCallerLeft(first);
        RecordingExchange fourth = fixture.request("/staged/x", 3_000, 1, 1);
        assertThat(List.of(second.outcomes, fourth.outcomes), contains(empty(), empty()));
    }
}
