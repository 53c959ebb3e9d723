package org.fuchsiawharf.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

import static org.fuchsiawharf.relay.ScriptedEndpoint.chunk;
import static org.fuchsiawharf.relay.ScriptedEndpoint.event;
import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.reset;
import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

class TestEndpointCalls {
    private static final ScriptedEndpoint.Step SUCCEED =
            (request, socket) -> write(socket, response(request, 200, "fine"));
    private static final ScriptedEndpoint.Step STREAM_EVENTS = (request, socket) -> {
        String last = request.field("last-event-id");
        long from = last == null ? 1 : Long.parseLong(last) + 1;
        write(socket, head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (long id = from; id <= 5; id++) {
            write(socket, chunk(event(id)));
        }
        write(socket, "0\r\n\r\n");
    };
    private static final String COMPLETE_STREAM = event(1) + event(2) + event(3) + event(4) + event(5);

    private final ScriptedEndpoint endpoint;
    private final RelayFixture relay;

    TestEndpointCalls() throws Exception {
        endpoint = new ScriptedEndpoint();
        relay = new RelayFixture(endpoint);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        endpoint.close();
    }

    private RawMessage send(String path, String id) throws IOException {
        return relay.exchange(RelayFixture.request(path.startsWith("/get") ? "GET" : "POST", path, id, "", ""));
    }

    // -----------------------------------------------------------------------

    @Test
    void requestsBeyondLimitNamedInResponseAreRefusedAtOnce() throws Exception {
        endpoint.then((request, socket) ->
                write(socket, head(request, 200) + "Wharf-Request-Limit: 0.001\r\nContent-Length: 2\r\n\r\nok"));
        assertThat(send("/get/a", "id-1").status(), is(200));
        RawMessage refused = send("/get/b", "id-2");
        assertThat(refused.status(), is(503));
        assertThat(refused.field("retry-after"), is(notNullValue()));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void requestAfterResponseOfLeavingEndpointIsNotSentThere() throws Exception {
        endpoint.then((request, socket) ->
                write(socket, head(request, 200) + "Wharf-Leaving: 1\r\nContent-Length: 2\r\n\r\nok"));
        assertThat(send("/get/a", "id-1").status(), is(200));
        assertThat(send("/get/b", "id-2").status(), is(503));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void requestDuringPauseOfEndpointIsNotSentThere() throws Exception {
        endpoint.then((request, socket) -> write(
                socket,
                "HTTP/1.1 503 Busy\r\nWharf-Request-Id: " + request.field("wharf-request-id")
                        + "\r\nWharf-Not-Executed: 1\r\nRetry-After: 60\r\nContent-Length: 0\r\n\r\n"));
        assertThat(send("/post/a", "id-1").status(), is(503));
        assertThat(send("/post/b", "id-2").status(), is(503));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void requestAfterRejectionByBrittleEndpointIsNotSentThere() throws Exception {
        endpoint.then((request, socket) -> write(
                socket,
                "HTTP/1.1 503 Busy\r\nWharf-Request-Id: " + request.field("wharf-request-id")
                        + "\r\nWharf-Not-Executed: 1\r\nWharf-Max-Rejections: 1\r\nContent-Length: 0\r\n\r\n"));
        assertThat(send("/post/a", "id-1").status(), is(503));
        RawMessage refused = send("/post/b", "id-2");
        assertThat(refused.status(), is(503));
        assertThat(refused.field("retry-after"), is(notNullValue()));
        assertThat(endpoint.requests, hasSize(1));
    }

    /** Responses that are incomplete, malformed or not produced by the endpoint. */
    static Stream<Arguments> brokenAnswers() {
        return Stream.of(
                brokenAnswer("cut body", (r, s) -> {
                    write(s, head(r, 200) + "Content-Length: 50\r\n\r\nhalf");
                    s.close();
                }),
                brokenAnswer("reset within the body", (r, s) -> {
                    write(s, head(r, 200) + "Content-Length: 50\r\n\r\nhalf");
                    reset(s);
                }),
                brokenAnswer("reset of an answer without a length", (r, s) -> {
                    write(s, head(r, 200) + "Connection: close\r\n\r\nhalf");
                    Thread.sleep(50);
                    reset(s);
                }),
                brokenAnswer("cut chunks", (r, s) -> {
                    write(s, head(r, 200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("half"));
                    s.close();
                }),
                brokenAnswer("no HTTP", (r, s) -> write(s, "garbage garbage garbage\r\n\r\n")),
                brokenAnswer(
                        "both a length and chunks",
                        (r, s) -> write(
                                s,
                                head(r, 200) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + chunk("fine"))),
                brokenAnswer(
                        "no signature",
                        (r, s) -> write(
                                s,
                                "HTTP/1.1 200 OK\r\nWharf-Request-Id: " + r.field("wharf-request-id")
                                        + "\r\nContent-Length: 4\r\n\r\nfake")),
                brokenAnswer(
                        "no request id",
                        (r, s) -> write(s, "HTTP/1.1 200 OK\r\nWharf-Signature: x\r\nContent-Length: 4\r\n\r\nfake")),
                brokenAnswer(
                        "encoded",
                        (r, s) -> write(s, head(r, 200) + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzzzz")),
                brokenAnswer("status 000", withStatus("000")),
                brokenAnswer("status 099", withStatus("099")),
                brokenAnswer("status 101 without an upgrade", withStatus("101")),
                brokenAnswer("status 600", withStatus("600")),
                brokenAnswer("status 999", withStatus("999")),
                brokenAnswer("closed without an answer", (r, s) -> s.close()),
                brokenAnswer("reset without an answer", (r, s) -> reset(s)));
    }

    private static ScriptedEndpoint.Step withStatus(String status) {
        return (r, s) -> write(s, response(r, 200, "fine").replaceFirst("200", status));
    }

    private static Arguments brokenAnswer(String name, ScriptedEndpoint.Step step) {
        return Arguments.of(name, step);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenAnswers")
    void retriesIdempotentRequestAfterBrokenResponse(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(SUCCEED);
        RawMessage response = send("/get/", "r1");
        assertThat(response.status(), is(200));
        assertThat(response.body(), is("fine"));
        assertThat(endpoint.requests, hasSize(2));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenAnswers")
    void failsNonIdempotentRequestAfterBrokenResponse(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(SUCCEED);
        RawMessage response = send("/post/", "r1");
        assertThat(response.status(), is(502));
        assertThat(response.field("wharf-signature"), is(nullValue()));
        assertThat(endpoint.requests, hasSize(1));
    }

    // A response with an invalid status was passed on, and the next request was sent on its connection.
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "600", "999"})
    void connectionIsNotReusedAfterInvalidStatus(String status) throws Exception {
        endpoint.then(withStatus(status)).then(SUCCEED);
        assertThat(send("/get/", "r1").body(), is("fine"));
        assertThat(endpoint.connectionCount, is(2));
    }

    // An invalid status with the field of rejections was taken for proof that the request had not run.
    @ParameterizedTest
    @ValueSource(strings = {"000", "999"})
    void invalidStatusDoesNotProveThatRequestDidNotRun(String status) throws Exception {
        endpoint.then((r, s) ->
                        write(s, "HTTP/1.1 " + status + " X\r\nWharf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                .then(SUCCEED);
        assertThat(send("/post/", "r1").status(), is(502));
        assertThat(endpoint.requests, hasSize(1));
    }

    @ParameterizedTest
    @ValueSource(ints = {100, 102, 103, 199})
    void skipsInformationalResponse(int status) throws Exception {
        endpoint.then((r, s) -> write(s, "HTTP/1.1 " + status + " X\r\n\r\n" + response(r, 200, "fine")));
        assertThat(send("/post/", "r1").body(), is("fine"));
    }

    @Test
    void retriesNonIdempotentRequestThatEndpointDidNotExecute() throws Exception {
        endpoint.then((r, s) -> write(s, "HTTP/1.1 503 X\r\nWharf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                .then(SUCCEED);
        assertThat(send("/post/", "r1").body(), is("fine"));
    }

    // A status that promises that the request was not run was passed on though the endpoint had not said so.
    @ParameterizedTest
    @ValueSource(ints = {408, 429, 503})
    void statusThatPromisesTooMuchIsNotForwardedForNonIdempotentRequest(int status) throws Exception {
        endpoint.then((r, s) -> write(s, response(r, status, "busy")));
        assertThat(send("/post/", "r1").status(), is(502));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void forwardsErrorResponseOfEndpointUnchanged() throws Exception {
        endpoint.then((r, s) -> write(s, response(r, 500, "broken")));
        RawMessage response = send("/post/", "r1");
        assertThat(response.status(), is(500));
        assertThat(response.body(), is("broken"));
        assertThat(response.field("wharf-signature"), is("sig"));
    }

    @Test
    void forwardsResponseWithoutLengthIfConnectionEndsCleanly() throws Exception {
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Connection: close\r\n\r\nfine");
            s.close();
        });
        assertThat(send("/post/", "r1").body(), is("fine"));
    }

    @Test
    void skipsLateDuplicateResponseToEarlierRequest() throws Exception {
        endpoint.then((r, s) -> write(s, response(r, 200, "first")))
                .then((r, s) -> write(
                        s,
                        "HTTP/1.1 200 OK\r\nWharf-Request-Id: r1\r\nWharf-Signature: sig\r\nContent-Length: 5\r\n\r\nstale"
                                + response(r, 200, "second")));
        assertThat(send("/get/", "r1").body(), is("first"));
        assertThat(send("/get/", "r2").body(), is("second"));
    }

    @Test
    void doesNotReuseConnectionWithExtraBytes() throws Exception {
        endpoint.then((r, s) -> write(s, response(r, 200, "first") + "HTTP/1.1 200"))
                .then(SUCCEED);
        assertThat(send("/get/", "r1").body(), is("first"));
        assertThat(send("/get/", "r2").body(), is("fine"));
        assertThat(endpoint.connectionCount, is(2));
    }

    @Test
    void reusesConnectionForIdempotentRequestsOnly() throws Exception {
        endpoint.then(SUCCEED);
        send("/get/", "r1");
        send("/get/", "r2");
        assertThat(endpoint.connectionCount, is(1));
        send("/post/", "r3");
        send("/post/", "r4");
        assertThat(endpoint.connectionCount, is(3));
    }

    // -----------------------------------------------------------------------

    @Test
    void forwardsStreamUnchanged() throws Exception {
        endpoint.then(STREAM_EVENTS);
        RawMessage response = send("/chat/", "r1");
        assertThat(response.status(), is(200));
        assertThat(response.field("wharf-signature"), is("sig"));
        assertThat(response.body(), is(COMPLETE_STREAM));
    }

    /** Streams that break after the second event. */
    static Stream<Arguments> brokenStreams() {
        return Stream.of(
                brokenStream("cut between events", (r, s) -> s.close()),
                brokenStream("reset", (r, s) -> reset(s)),
                brokenStream("cut within an event", (r, s) -> {
                    write(s, chunk("id: 3\nda"));
                    s.close();
                }),
                brokenStream("ended within an event", (r, s) -> {
                    write(s, chunk("id: 3\ndata: e3\n"));
                    write(s, "0\r\n\r\n");
                }),
                brokenStream("an event left out", (r, s) -> {
                    write(s, chunk(event(4)));
                    write(s, "0\r\n\r\n");
                }),
                brokenStream("an id that is no number", (r, s) -> write(s, chunk("id: x\ndata: y\n\n"))));
    }

    private static Arguments brokenStream(String name, ScriptedEndpoint.Step end) {
        ScriptedEndpoint.Step step = (request, socket) -> {
            write(socket, head(request, 200) + "Transfer-Encoding: chunked\r\n\r\n");
            write(socket, chunk(event(1)) + chunk(event(2)));
            Thread.sleep(50);
            end.respond(request, socket);
        };
        return Arguments.of(name, step);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void resumesBrokenStreamWithinOneResponse(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(STREAM_EVENTS);
        RawMessage response = send("/chat/", "r1");
        assertThat(response.body(), is(COMPLETE_STREAM));
        assertThat(endpoint.requests.get(1).field("last-event-id"), is("2"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void abortsBrokenStreamIfNotResumable(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(STREAM_EVENTS);
        RawMessage response = send("/verdict/", "r1");
        assertThat(response.body(), is(event(1) + event(2) + "<cut>"));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void forwardsStreamWithoutFramingIfConnectionEndsBetweenEvents() throws Exception {
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Connection: close\r\n\r\n" + event(1) + event(2));
            s.close();
        });
        assertThat(send("/verdict/", "r1").body(), is(event(1) + event(2)));
    }

    @Test
    void streamWithoutFramingThatEndsWithinEventIsResumed() throws Exception {
        endpoint.then((r, s) -> {
                    write(s, head(r, 200) + "Connection: close\r\n\r\n" + event(1) + event(2) + "id: 3\nda");
                    s.close();
                })
                .then(STREAM_EVENTS);
        assertThat(send("/chat/", "r1").body(), is(COMPLETE_STREAM));
    }

    @Test
    void streamWithoutFramingThatIsResetIsResumed() throws Exception {
        endpoint.then((r, s) -> {
                    write(s, head(r, 200) + "Connection: close\r\n\r\n" + event(1) + event(2));
                    Thread.sleep(50);
                    reset(s);
                })
                .then(STREAM_EVENTS);
        assertThat(send("/chat/", "r1").body(), is(COMPLETE_STREAM));
    }

    @Test
    void streamWithoutFramingThatEndsBeforeItsFirstEventIsNotAnswered() throws Exception {
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Connection: close\r\n\r\n");
            s.close();
        });
        assertThat(send("/verdict/", "r1").status(), is(502));
    }

    @Test
    void dropsDuplicateEvents() throws Exception {
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Transfer-Encoding: chunked\r\n\r\n");
            write(s, chunk(event(1) + event(1) + event(2)) + "0\r\n\r\n");
        });
        assertThat(send("/chat/", "r1").body(), is(event(1) + event(2)));
    }

    @Test
    void resumesAfterLastEventIdOfCaller() throws Exception {
        endpoint.then(STREAM_EVENTS);
        RawMessage response = relay.exchange(RelayFixture.request("POST", "/chat/", "r1", "Last-Event-Id: 3\r\n", ""));
        assertThat(response.body(), is(event(4) + event(5)));
    }

    @Test
    void doesNotSendRequestOfDisconnectedCaller() throws Exception {
        ScriptedEndpoint silentEndpoint = new ScriptedEndpoint().then((r, s) -> {});
        try (RelayFixture fixture = new RelayFixture(silentEndpoint)) {
            CountDownLatch firstRelease = new CountDownLatch(1);
            CountDownLatch secondRelease = new CountDownLatch(1);
            fixture.process.getLoop().execute(() -> awaitLatch(firstRelease));
            try (Socket socket = fixture.connect()) {
                write(socket, RelayFixture.request("POST", "/post/", "r1", "", "0123456789"));
                Thread.sleep(200);
                fixture.process.getLoop().execute(() -> awaitLatch(secondRelease));
            }
            Thread.sleep(200);
            // The decision loop receives the request now, before the notification that its caller has disconnected.
            firstRelease.countDown();
            Thread.sleep(300);
            assertThat(silentEndpoint.requests, hasSize(0));
            secondRelease.countDown();
        }
        silentEndpoint.close();
    }

    private static void awaitLatch(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void sendsRequestOnlyAfterCompleteBody() throws Exception {
        try (Socket socket = relay.connect()) {
            endpoint.then(SUCCEED);
            String text = RelayFixture.request("POST", "/post/", "r1", "", "0123456789");
            write(socket, text.substring(0, text.length() - 5));
            Thread.sleep(100);
            assertThat(endpoint.requests, hasSize(0));
            write(socket, text.substring(text.length() - 5));
            assertThat(RelayFixture.readResponse(socket).body(), is("fine"));
        }
        assertThat(List.copyOf(endpoint.requests), hasSize(1));
    }

    @Test
    void idleConnectionsAfterSingleSendsStayBelowEndpointMaximum() throws Exception {
        endpoint.then(SUCCEED);
        int requests = 2 * RelayFixture.MAX_CONNECTIONS;
        for (int i = 0; i < requests; i++) {
            assertThat(send("/post/", "r" + i).status(), is(200));
        }
        for (int i = 0; i < requests - RelayFixture.MAX_CONNECTIONS / 2; i++) {
            assertThat(endpoint.endedConnections.poll(10, TimeUnit.SECONDS), is(notNullValue()));
        }
    }
}
