package org.fuchsiawharf.relay;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.stream.Stream;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.fuchsiawharf.relay.ScriptedEndpoint.answer;
import static org.fuchsiawharf.relay.ScriptedEndpoint.chunk;
import static org.fuchsiawharf.relay.ScriptedEndpoint.event;
import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.reset;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

class TestEndpointCalls {
    private static final ScriptedEndpoint.Step FINE = (request, socket) -> write(socket, answer(request, 200, "fine"));
    private static final ScriptedEndpoint.Step STREAM = (request, socket) -> {
        String last = request.field("last-event-id");
        long from = last == null ? 1 : Long.parseLong(last) + 1;
        write(socket, head(request, 200) + "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (long id = from; id <= 5; id++) {
            write(socket, chunk(event(id)));
        }
        write(socket, "0\r\n\r\n");
    };
    private static final String WHOLE = event(1) + event(2) + event(3) + event(4) + event(5);

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

    private RawRequest ask(String path, String id) throws IOException {
        return relay.exchange(RelayFixture.request(path.startsWith("/get") ? "GET" : "POST", path, id, "", ""));
    }

    // -----------------------------------------------------------------------

    /** Answers that are not the endpoint's whole answer to this request. */
    static Stream<Arguments> brokenAnswers() {
        return Stream.of(
                broken("cut body", (r, s) -> {
                    write(s, head(r, 200) + "Content-Length: 50\r\n\r\nhalf");
                    s.close();
                }),
                broken("reset within the body", (r, s) -> {
                    write(s, head(r, 200) + "Content-Length: 50\r\n\r\nhalf");
                    reset(s);
                }),
                broken("reset of an answer without a length", (r, s) -> {
                    write(s, head(r, 200) + "Connection: close\r\n\r\nhalf");
                    Thread.sleep(50);
                    reset(s);
                }),
                broken("cut chunks", (r, s) -> {
                    write(s, head(r, 200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("half"));
                    s.close();
                }),
                broken("no HTTP", (r, s) -> write(s, "garbage garbage garbage\r\n\r\n")),
                broken(
                        "both a length and chunks",
                        (r, s) -> write(
                                s,
                                head(r, 200) + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n"
                                        + chunk("fine"))),
                broken(
                        "no signature",
                        (r, s) -> write(
                                s,
                                "HTTP/1.1 200 OK\r\nWharf-Request-Id: " + r.field("wharf-request-id")
                                        + "\r\nContent-Length: 4\r\n\r\nfake")),
                broken(
                        "no request id",
                        (r, s) -> write(s, "HTTP/1.1 200 OK\r\nWharf-Signature: x\r\nContent-Length: 4\r\n\r\nfake")),
                broken(
                        "encoded",
                        (r, s) -> write(s, head(r, 200) + "Content-Encoding: gzip\r\nContent-Length: 4\r\n\r\nzzzz")),
                broken("closed without an answer", (r, s) -> s.close()),
                broken("reset without an answer", (r, s) -> reset(s)));
    }

    private static Arguments broken(String name, ScriptedEndpoint.Step step) {
        return Arguments.of(name, step);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenAnswers")
    void neverPassesABrokenAnswerOnAndAsksAgainIfItMay(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(FINE);
        RawRequest answer = ask("/get/", "r1");
        assertThat(answer.status(), is(200));
        assertThat(answer.body(), is("fine"));
        assertThat(endpoint.requests, hasSize(2));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenAnswers")
    void neverRunsTwiceWhatMayNotBeRepeated(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(FINE);
        RawRequest answer = ask("/post/", "r1");
        assertThat(answer.status(), is(502));
        assertThat(answer.field("wharf-signature"), is(nullValue()));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void sendsAgainWhatAnEndpointRefusedBeforeWork() throws Exception {
        endpoint.then((r, s) -> write(s, "HTTP/1.1 503 X\r\nWharf-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))
                .then(FINE);
        assertThat(ask("/post/", "r1").body(), is("fine"));
    }

    @Test
    void passesAnEndpointsOwnFailureOnUnchanged() throws Exception {
        endpoint.then((r, s) -> write(s, answer(r, 500, "broken")));
        RawRequest answer = ask("/post/", "r1");
        assertThat(answer.status(), is(500));
        assertThat(answer.body(), is("broken"));
        assertThat(answer.field("wharf-signature"), is("sig"));
    }

    @Test
    void passesAnAnswerWithoutALengthOnIfItEndsCleanly() throws Exception {
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Connection: close\r\n\r\nfine");
            s.close();
        });
        assertThat(ask("/post/", "r1").body(), is("fine"));
    }

    @Test
    void skipsALateSecondAnswerToAnEarlierRequest() throws Exception {
        endpoint.then((r, s) -> write(s, answer(r, 200, "first")))
                .then((r, s) -> write(
                        s,
                        "HTTP/1.1 200 OK\r\nWharf-Request-Id: r1\r\nWharf-Signature: sig\r\nContent-Length: 5\r\n\r\nstale"
                                + answer(r, 200, "second")));
        assertThat(ask("/get/", "r1").body(), is("first"));
        assertThat(ask("/get/", "r2").body(), is("second"));
    }

    @Test
    void doesNotUseAConnectionAgainThatBroughtExtraBytes() throws Exception {
        endpoint.then((r, s) -> write(s, answer(r, 200, "first") + "HTTP/1.1 200"))
                .then(FINE);
        assertThat(ask("/get/", "r1").body(), is("first"));
        assertThat(ask("/get/", "r2").body(), is("fine"));
        assertThat(endpoint.connections, is(2));
    }

    @Test
    void usesAConnectionAgainForWhatMayBeRepeatedOnly() throws Exception {
        endpoint.then(FINE);
        ask("/get/", "r1");
        ask("/get/", "r2");
        assertThat(endpoint.connections, is(1));
        ask("/post/", "r3");
        ask("/post/", "r4");
        assertThat(endpoint.connections, is(3));
    }

    // -----------------------------------------------------------------------

    @Test
    void relaysAStreamUnchanged() throws Exception {
        endpoint.then(STREAM);
        RawRequest answer = ask("/chat/", "r1");
        assertThat(answer.status(), is(200));
        assertThat(answer.field("wharf-signature"), is("sig"));
        assertThat(answer.body(), is(WHOLE));
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
            end.answer(request, socket);
        };
        return Arguments.of(name, step);
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void resumesABrokenStreamWithinOneAnswer(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(STREAM);
        RawRequest answer = ask("/chat/", "r1");
        assertThat(answer.body(), is(WHOLE));
        assertThat(endpoint.requests.get(1).field("last-event-id"), is("2"));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("brokenStreams")
    void showsThatAStreamIsNotWholeIfItMayNotBeResumed(String name, ScriptedEndpoint.Step broken) throws Exception {
        endpoint.then(broken).then(STREAM);
        RawRequest answer = ask("/verdict/", "r1");
        assertThat(answer.body(), is(event(1) + event(2) + "<cut>"));
        assertThat(endpoint.requests, hasSize(1));
    }

    @Test
    void leavesOutEventsThatTheCallerHas() throws Exception {
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Transfer-Encoding: chunked\r\n\r\n");
            write(s, chunk(event(1) + event(1) + event(2)) + "0\r\n\r\n");
        });
        assertThat(ask("/chat/", "r1").body(), is(event(1) + event(2)));
    }

    @Test
    void goesOnAfterTheEventThatAResumingCallerNames() throws Exception {
        endpoint.then(STREAM);
        RawRequest answer = relay.exchange(RelayFixture.request("POST", "/chat/", "r1", "Last-Event-Id: 3\r\n", ""));
        assertThat(answer.body(), is(event(4) + event(5)));
    }

    @Test
    void neverSendsARequestWhoseCallerLeftMeanwhile() throws Exception {
        ScriptedEndpoint slow = new ScriptedEndpoint().then((r, s) -> {});
        try (RelayFixture fixture = new RelayFixture(slow)) {
            CountDownLatch held = new CountDownLatch(1);
            CountDownLatch heldAfterRequest = new CountDownLatch(1);
            fixture.process.getLoop().execute(() -> awaitQuietly(held));
            try (Socket socket = fixture.connect()) {
                write(socket, RelayFixture.request("POST", "/post/", "r1", "", "0123456789"));
                Thread.sleep(200);
                fixture.process.getLoop().execute(() -> awaitQuietly(heldAfterRequest));
            }
            Thread.sleep(200);
            // The decisions learn of the request only now, and not yet that its caller has left.
            held.countDown();
            Thread.sleep(300);
            assertThat(slow.requests, hasSize(0));
            heldAfterRequest.countDown();
        }
        slow.close();
    }

    private static void awaitQuietly(CountDownLatch latch) {
        try {
            latch.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Test
    void answersOnlyOnceABodyIsWholeAndDropsAConnectionAnsweredTooEarly() throws Exception {
        try (Socket socket = relay.connect()) {
            endpoint.then(FINE);
            String text = RelayFixture.request("POST", "/post/", "r1", "", "0123456789");
            write(socket, text.substring(0, text.length() - 5));
            Thread.sleep(100);
            assertThat(endpoint.requests, hasSize(0));
            write(socket, text.substring(text.length() - 5));
            assertThat(RelayFixture.readAnswer(socket).body(), is("fine"));
        }
        assertThat(List.copyOf(endpoint.requests), hasSize(1));
    }
}
