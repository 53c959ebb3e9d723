package org.fuchsiawharf.relay;

import java.net.Socket;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.retry.HedgeLimits;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.reset;
import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

/** Tests two calls of one request that run at the same time over sockets. */
class TestHedgedCalls {
    /** Enough responses for a delay that a few slow ones at the start of the process do not raise. */
    private static final int WARM_UP_REQUESTS = 60;

    private static final String HALF = "x".repeat(1_000);

    private final ScriptedEndpoint[] endpoints = {new ScriptedEndpoint(), new ScriptedEndpoint()};
    private final Queue<String> events = new ConcurrentLinkedQueue<>();
    private final DecisionLog log = (event, fields) -> events.add(event);
    private final RelayFixture relay = new RelayFixture(new HedgeLimits(0.2, 0.2), log, endpoints);
    private final CountDownLatch released = new CountDownLatch(1);
    private final CountDownLatch bothSent = new CountDownLatch(2);
    private final AtomicInteger slowCalls = new AtomicInteger();

    TestHedgedCalls() throws Exception {}

    @AfterEach
    void stop() throws Exception {
        released.countDown();
        relay.close();
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.close();
        }
    }

    /** Lets the endpoints respond at once, but the first and the second call of a slow request by the given steps. */
    private void script(ScriptedEndpoint.Step first, ScriptedEndpoint.Step second) throws Exception {
        for (ScriptedEndpoint endpoint : endpoints) {
            endpoint.then((request, socket) -> {
                if (!request.head().startsWith("GET /get/slow")) {
                    write(socket, response(request, 200, "fine"));
                } else if (slowCalls.getAndIncrement() == 0) {
                    bothSent.countDown();
                    first.respond(request, socket);
                } else {
                    bothSent.countDown();
                    second.respond(request, socket);
                }
            });
        }
        for (int i = 0; i < WARM_UP_REQUESTS; i++) {
            assertThat(send("/get/a", "w-" + i).body(), is("fine"));
        }
    }

    private RawMessage send(String path, String id) throws Exception {
        return relay.exchange(RelayFixture.request("GET", path, id, "", ""));
    }

    // -----------------------------------------------------------------------

    // The rest of the cancelled call's response must neither reach the caller nor mix with the next response.
    @Test
    void lateResponseOfCancelledCallDoesNotReachCaller() throws Exception {
        script(
                (request, socket) -> {
                    write(socket, head(request, 200) + "Content-Length: 2000\r\n\r\n" + HALF);
                    released.await();
                    write(socket, HALF);
                },
                (request, socket) -> write(socket, response(request, 200, "hedge")));
        try (Socket socket = relay.connect()) {
            write(socket, RelayFixture.request("GET", "/get/slow", "id-1", "", ""));
            assertThat(RelayFixture.readResponse(socket).body(), is("hedge"));
            released.countDown();
            write(socket, RelayFixture.request("GET", "/get/b", "id-2", "", ""));
            assertThat(RelayFixture.readResponse(socket).body(), is("fine"));
        }
        assertThat(slowCalls.get(), is(2));
        assertThat(events, hasItem("request.hedged"));
    }

    @Test
    void firstCallIsRelayedCompletelyAfterHedgeBroke() throws Exception {
        script(
                (request, socket) -> {
                    write(socket, head(request, 200) + "Content-Length: 2000\r\n\r\n" + HALF);
                    bothSent.await();
                    released.await();
                    write(socket, HALF);
                },
                (request, socket) -> {
                    write(socket, head(request, 200) + "Content-Length: 2000\r\n\r\n" + "y".repeat(500));
                    reset(socket);
                    released.countDown();
                });
        assertThat(send("/get/slow", "id-1").body(), is(HALF + HALF));
        assertThat(slowCalls.get(), is(2));
    }

    // Calls that outlive their caller would go on using slots and memory.
    @Test
    void bothCallsEndWhenCallerLeaves() throws Exception {
        ScriptedEndpoint.Step silence = (request, socket) -> {};
        script(silence, silence);
        try (Socket socket = relay.connect()) {
            write(socket, RelayFixture.request("GET", "/get/slow", "id-1", "", ""));
            bothSent.await();
            for (ScriptedEndpoint endpoint : endpoints) {
                endpoint.endedConnections.clear();
            }
        }
        for (ScriptedEndpoint endpoint : endpoints) {
            assertThat(endpoint.endedConnections.take(), is("closed"));
        }
    }
}
