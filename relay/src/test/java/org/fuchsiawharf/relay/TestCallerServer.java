package org.fuchsiawharf.relay;

import java.net.Socket;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.notNullValue;
import static org.hamcrest.Matchers.nullValue;

class TestCallerServer {
    private ScriptedEndpoint endpoint;
    private RelayFixture relay;

    @BeforeEach
    void start() throws Exception {
        endpoint = new ScriptedEndpoint()
                .then((request, socket) -> ScriptedEndpoint.write(
                        socket, ScriptedEndpoint.response(request, 200, "body of " + request.body())));
        relay = new RelayFixture(endpoint);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        endpoint.close();
    }

    @Test
    void forwardsRequestUnchangedExceptForFieldsSetByInstance() throws Exception {
        RawMessage response = relay.exchange(RelayFixture.request(
                "POST",
                "/post/a%20b?x=1&y=%2F",
                "r1",
                "X-Own: v\r\nWharf-Workspace: forged\r\nWharf-Inputs: z\r\n",
                "hello"));
        assertThat(response.status(), is(200));
        assertThat(response.body(), is("body of hello"));
        assertThat(response.field("wharf-signature"), is("sig"));
        RawMessage sent = endpoint.requests.get(0);
        assertThat(sent.startLine(), is("POST /post/a%20b?x=1&y=%2F HTTP/1.1"));
        assertThat(sent.field("wharf-request-id"), is("r1"));
        assertThat(sent.field("x-own"), is("v"));
        assertThat(sent.field("wharf-workspace"), is("w1"));
        assertThat(sent.field("wharf-key"), is(nullValue()));
        assertThat(sent.field("wharf-inputs"), is(nullValue()));
        assertThat(sent.field("wharf-expect-endpoint"), is("e0"));
        assertThat(Integer.parseInt(sent.field("wharf-deadline-ms")) <= 6_000, is(true));
        assertThat(sent.body(), is("hello"));
    }

    // A stopping instance closed connections while their callers still read responses that it had taken over.
    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void responseThatIsReadSlowlyIsNotCutByStop(boolean stoppedBeforeResponse) throws Exception {
        String body = "x".repeat(12 << 20);
        CountDownLatch mayRespond = new CountDownLatch(stoppedBeforeResponse ? 1 : 0);
        CountDownLatch responded = new CountDownLatch(stoppedBeforeResponse ? 0 : 1);
        try (ScriptedEndpoint large = new ScriptedEndpoint();
                RelayFixture stopping = new RelayFixture(large, 20_000);
                Socket socket = stopping.connectWithReceiveBuffer(4_096)) {
            large.then((r, s) -> {
                mayRespond.await();
                write(s, response(r, 200, body));
                responded.countDown();
            });
            write(socket, RelayFixture.request("POST", "/post/", "r1", "", ""));
            responded.await();
            Thread stop = new Thread(stopping.process::stop);
            stop.start();
            Thread.sleep(500);
            mayRespond.countDown();
            Thread.sleep(4_000);
            assertThat(RelayFixture.readResponse(socket).body().length(), is(body.length()));
            stop.join();
        }
    }

    @Test
    void joinsChunksOfRequestBody() throws Exception {
        RawMessage response = relay.exchange("POST /post/ HTTP/1.1\r\nHost: h.example\r\nWharf-Request-Id: r\r\n"
                + "Wharf-Key: k1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n");
        assertThat(response.body(), is("body of abcde"));
    }

    @Test
    void readsRequestSplitAtEveryByte() throws Exception {
        String text = RelayFixture.request("POST", "/post/", "r1", "", "xyz");
        try (Socket socket = relay.connect()) {
            socket.setTcpNoDelay(true);
            for (char each : text.toCharArray()) {
                ScriptedEndpoint.write(socket, String.valueOf(each));
            }
            assertThat(RelayFixture.readResponse(socket).body(), is("body of xyz"));
        }
    }

    @Test
    void respondsToPipelinedRequestsInOrder() throws Exception {
        try (Socket socket = relay.connect()) {
            ScriptedEndpoint.write(
                    socket,
                    RelayFixture.request("POST", "/post/", "r1", "", "one")
                            + RelayFixture.request("GET", "/none/", "r2", "", "")
                            + RelayFixture.request("POST", "/post/", "r3", "", "three"));
            assertThat(RelayFixture.readResponse(socket).body(), is("body of one"));
            assertThat(RelayFixture.readResponse(socket).status(), is(404));
            assertThat(RelayFixture.readResponse(socket).body(), is("body of three"));
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n",
                "Content-Length: 3\r\nContent-Length: 4\r\n",
                "Content-Length: +3\r\n",
                "Content-Length: 3, 3\r\n",
                "Transfer-Encoding: gzip, chunked\r\n",
                "Transfer-Encoding: xchunked\r\n",
                "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n",
                "Host: other.example\r\n",
                "Wharf-Request-Id: r2\r\n",
                "Wharf-Key: k2\r\n",
                "Bad Name: x\r\n",
            })
    void rejectsAmbiguousRequestAndClosesConnection(String fields) throws Exception {
        try (Socket socket = relay.connect()) {
            ScriptedEndpoint.write(
                    socket,
                    "POST /post/ HTTP/1.1\r\nHost: h.example\r\nWharf-Request-Id: r1\r\nWharf-Key: k1\r\n" + fields
                            + "\r\nabcGET /get/smuggled HTTP/1.1\r\nHost: h.example\r\nWharf-Request-Id: s\r\n\r\n");
            assertThat(RelayFixture.readResponse(socket).status(), is(400));
            assertThat(RawMessage.read(socket.getInputStream()), is(nullValue()));
        }
        assertThat(endpoint.requests, is(empty()));
    }

    @Test
    void rejectsOversizedHeadOrBody() throws Exception {
        String large = "X-Large: " + "x".repeat(9_000) + "\r\n";
        assertThat(
                relay.exchange(RelayFixture.request("GET", "/get/", "r1", large, ""))
                        .status(),
                is(431));
        String body = "x".repeat(RelayFixture.LIMITS.maxBodyBytes() + 1);
        assertThat(
                relay.exchange(RelayFixture.request("POST", "/post/", "r1", "", body))
                        .status(),
                is(413));
        assertThat(endpoint.requests, is(empty()));
    }

    @Test
    void forwardsEndToEndFieldsNamedInConnectionField() throws Exception {
        relay.exchange(
                RelayFixture.request("GET", "/get/", "r1", "Connection: wharf-request-id, x-hop\r\nX-Hop: h\r\n", ""));
        assertThat(endpoint.requests.get(0).field("wharf-request-id"), is("r1"));
        assertThat(endpoint.requests.get(0).field("x-hop"), is(nullValue()));
    }

    @Test
    void keepsConnectionOpenUntilCallerSendsConnectionClose() throws Exception {
        try (Socket socket = relay.connect()) {
            ScriptedEndpoint.write(socket, RelayFixture.request("GET", "/get/", "r1", "", ""));
            assertThat(RelayFixture.readResponse(socket).field("connection"), is(nullValue()));
            ScriptedEndpoint.write(socket, RelayFixture.request("GET", "/get/", "r2", "Connection: close\r\n", ""));
            assertThat(RelayFixture.readResponse(socket).field("connection"), is("close"));
            assertThat(RawMessage.read(socket.getInputStream()), is(nullValue()));
        }
    }

    @Test
    void closesEndpointConnectionWhenCallerDisconnects() throws Exception {
        ScriptedEndpoint silent = new ScriptedEndpoint().then((request, socket) -> {});
        try (RelayFixture fixture = new RelayFixture(silent)) {
            try (Socket socket = fixture.connect()) {
                ScriptedEndpoint.write(socket, RelayFixture.request("POST", "/post/", "r1", "", "x"));
                while (silent.requests.isEmpty()) {
                    Thread.onSpinWait();
                }
            }
            assertThat(silent.endedConnections.poll(10, TimeUnit.SECONDS), is(notNullValue()));
        }
        assertThat(silent.requests, hasSize(1));
        silent.close();
    }

    @Test
    void respondsWithConnectionCloseWhileStopping() throws Exception {
        try (Socket socket = relay.connect();
                Socket status = relay.connectToStatus()) {
            ScriptedEndpoint.write(socket, RelayFixture.request("GET", "/get/", "r1", "", ""));
            RelayFixture.readResponse(socket);
            ScriptedEndpoint.write(status, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
            assertThat(RelayFixture.readResponse(status).status(), is(200));
            Thread stopping = new Thread(relay.process::stop);
            stopping.start();
            int readyStatus = 200;
            while (readyStatus == 200) {
                ScriptedEndpoint.write(status, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n");
                readyStatus = RelayFixture.readResponse(status).status();
            }
            ScriptedEndpoint.write(socket, RelayFixture.request("GET", "/get/", "r2", "", ""));
            RawMessage response = RelayFixture.readResponse(socket);
            assertThat(response.status(), is(200));
            assertThat(response.field("connection"), is("close"));
            stopping.join();
        }
    }

    @Test
    void rejectsLateRequestsWhileStoppingAndRespondsToEveryRequest() throws Exception {
        ScriptedEndpoint silent = new ScriptedEndpoint().then((request, socket) -> {});
        try (RelayFixture fixture = new RelayFixture(silent, 6_000);
                Socket busy = fixture.connect();
                Socket partial = fixture.connect();
                Socket idle = fixture.connect()) {
            ScriptedEndpoint.write(busy, RelayFixture.request("POST", "/post/", "r1", "", "x"));
            String lateRequest = RelayFixture.request("POST", "/post/", "r2", "", "0123456789");
            Thread stopping = new Thread(fixture.process::stop);
            stopping.start();
            // The partial request starts so late that its last bytes, which are sent after the instance stops accepting
            // requests, still arrive within the header timeout.
            Thread.sleep(1_500);
            ScriptedEndpoint.write(partial, lateRequest.substring(0, lateRequest.length() - 5));
            // The idle connection is closed once the instance stops accepting requests.
            assertThat(RawMessage.read(idle.getInputStream()), is(nullValue()));
            ScriptedEndpoint.write(partial, lateRequest.substring(lateRequest.length() - 5));
            RawMessage rejected = RelayFixture.readResponse(partial);
            assertThat(rejected.status(), is(503));
            assertThat(rejected.field("connection"), is("close"));
            assertThat(RelayFixture.readResponse(busy).status(), is(502));
            stopping.join();
        }
        assertThat(silent.requests, hasSize(1));
        silent.close();
    }

    @Test
    void respondsToHeadRequestWithoutBody() throws Exception {
        ScriptedEndpoint headEndpoint = new ScriptedEndpoint()
                .then((request, socket) -> ScriptedEndpoint.write(
                        socket, ScriptedEndpoint.head(request, 200) + "Content-Length: 12\r\n\r\n"));
        try (RelayFixture fixture = new RelayFixture(headEndpoint);
                Socket socket = fixture.connect()) {
            for (String id : new String[] {"r1", "r2"}) {
                ScriptedEndpoint.write(socket, RelayFixture.request("HEAD", "/get/", id, "", ""));
                StringBuilder head = new StringBuilder();
                while (!head.toString().endsWith("\r\n\r\n")) {
                    head.append((char) socket.getInputStream().read());
                }
                assertThat(head.toString(), containsString("HTTP/1.1 200"));
                assertThat(head.toString(), not(containsString("chunked")));
            }
        }
        headEndpoint.close();
    }
}
