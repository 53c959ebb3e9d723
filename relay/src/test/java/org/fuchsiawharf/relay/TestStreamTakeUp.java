package org.fuchsiawharf.relay;

import java.io.IOException;
import java.util.List;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.fuchsiawharf.relay.ScriptedEndpoint.chunk;
import static org.fuchsiawharf.relay.ScriptedEndpoint.event;
import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

class TestStreamTakeUp {
    private static final int TAKE_UPS = 10;
    private static final ScriptedEndpoint.Step BREAK_AFTER_TWO_EVENTS = (request, socket) -> {
        write(socket, head(request, 200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(1) + event(2)));
        Thread.sleep(50);
        ScriptedEndpoint.reset(socket);
    };
    private static final ScriptedEndpoint.Step END_WITH_THIRD_EVENT = (request, socket) ->
            write(socket, head(request, 200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk(event(3)) + "0\r\n\r\n");

    private final ScriptedEndpoint first;
    private final ScriptedEndpoint second;
    private final RelayFixture relay;

    TestStreamTakeUp() throws Exception {
        first = new ScriptedEndpoint()
                .then(BREAK_AFTER_TWO_EVENTS)
                .then(BREAK_AFTER_TWO_EVENTS)
                .then(END_WITH_THIRD_EVENT);
        second = new ScriptedEndpoint().then(END_WITH_THIRD_EVENT);
        relay = new RelayFixture(first);
    }

    @BeforeEach
    void breakStreamOfFirstVersion() throws Exception {
        relay.list(List.of(RelayFixture.status("e0", first, "v1")));
        RawMessage broken = relay.exchange(RelayFixture.request("POST", "/chat/", "r1", "", ""));
        assertThat(broken.body(), is(event(1) + event(2) + "<cut>"));
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        first.close();
        second.close();
    }

    private RawMessage takeUp(String id, String firstRequest) throws IOException {
        String fields = "Last-Event-Id: 2\r\nWharf-Resumes: " + firstRequest + "\r\n";
        return relay.exchange(RelayFixture.request("POST", "/chat/", id, fields, ""));
    }

    @Test
    void streamIsTakenUpOnlyAtTheVersionThatBeganIt() throws Exception {
        relay.list(List.of(RelayFixture.status("e0", first, "v1"), RelayFixture.status("e1", second, "v2")));
        for (int i = 0; i < TAKE_UPS; i++) {
            assertThat(takeUp("t" + i, "r1").body(), is(event(3)));
        }
        assertThat(second.requests, is(empty()));
    }

    @Test
    void takeUpIsRefusedAsNotRunIfTheVersionHasLeft() throws Exception {
        relay.list(List.of(RelayFixture.status("e1", second, "v2")));
        RawMessage refused = takeUp("t1", "r1");
        assertThat(refused.status(), is(503));
        assertThat(second.requests, is(empty()));
    }

    @Test
    void takeUpOfUnknownOriginIsRefusedAsNotRun() throws Exception {
        relay.list(List.of(RelayFixture.status("e0", first, "v1"), RelayFixture.status("e1", second, "v2")));
        RawMessage refused = takeUp("t1", "other");
        assertThat(refused.status(), is(503));
        assertThat(refused.body(), containsString("stream_origin_unknown"));
        assertThat(second.requests, is(empty()));
    }
}
