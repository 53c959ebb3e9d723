package org.fuchsiawharf.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.lang.management.ManagementFactory;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

import com.sun.management.ThreadMXBean;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;

import static org.fuchsiawharf.relay.ScriptedEndpoint.chunk;
import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Tests responses that do not end until the instance closes the connection. */
class TestEndlessResponses {
    /** Bytes that the socket buffers of both ends may take beyond those that the instance reads. */
    private static final long SOCKET_BUFFER_BYTES = 12L << 20;
    /** Bytes after which an endpoint gives up waiting for the close. */
    private static final long GIVE_UP_BYTES = 64L << 20;

    private static final long SMALL_RESPONSE_BYTES = 2L << 20;
    private static final long BUFFERED_RESPONSE_BYTES = 17L << 20;

    private final CompletableFuture<Long> sentBytes = new CompletableFuture<>();
    private final ScriptedEndpoint endpoint;
    private final RelayFixture relay;

    TestEndlessResponses() throws Exception {
        endpoint = new ScriptedEndpoint();
        relay = new RelayFixture(endpoint);
    }

    @AfterEach
    void stop() throws Exception {
        relay.close();
        endpoint.close();
    }

    /** Sends a text over and over until the connection is closed by the instance. */
    private void writeUntilClosed(Socket socket, String start, String repeated, int maxWriteBytes) throws IOException {
        write(socket, start);
        byte[] block =
                repeated.repeat(Math.max(1, maxWriteBytes / repeated.length())).getBytes(StandardCharsets.ISO_8859_1);
        long sent = 0;
        try {
            OutputStream output = socket.getOutputStream();
            while (sent < GIVE_UP_BYTES) {
                output.write(block);
                sent += block.length;
            }
        } catch (IOException e) {
            sentBytes.complete(sent);
            throw e;
        }
        sentBytes.complete(sent);
        socket.close();
    }

    static Stream<Arguments> endlessResponses() {
        String chunked = "Transfer-Encoding: chunked\r\n\r\n";
        return Stream.of(
                Arguments.of("status line", "", "HTTP/1.1 200 ", "x", SMALL_RESPONSE_BYTES),
                Arguments.of("blank before the status line", "", "", " ", SMALL_RESPONSE_BYTES),
                Arguments.of("empty lines before the status line", "", "", "\r\n", SMALL_RESPONSE_BYTES),
                Arguments.of("header line", "H", "X: ", "x", SMALL_RESPONSE_BYTES),
                Arguments.of("header lines", "H", "", "X: y\r\n", SMALL_RESPONSE_BYTES),
                Arguments.of("informational heads", "", "", "HTTP/1.1 100 Continue\r\n\r\n", SMALL_RESPONSE_BYTES),
                Arguments.of(
                        "late duplicate",
                        "",
                        "HTTP/1.1 200 OK\r\nWharf-Request-Id: old\r\nConnection: close\r\n\r\n",
                        "x",
                        SMALL_RESPONSE_BYTES),
                Arguments.of("chunk extension", "H", chunked + "1;", "x", SMALL_RESPONSE_BYTES),
                Arguments.of("bytes after a chunk", "H", chunked + "1\r\nx", "x", SMALL_RESPONSE_BYTES),
                Arguments.of(
                        "chunk extensions",
                        "H",
                        chunked,
                        "1;" + "x".repeat(4_000) + "\r\nx\r\n",
                        BUFFERED_RESPONSE_BYTES),
                Arguments.of("trailers", "H", chunked + "0\r\n", "X: y\r\n", SMALL_RESPONSE_BYTES),
                Arguments.of("body without a length", "H", "Connection: close\r\n\r\n", "x", BUFFERED_RESPONSE_BYTES),
                Arguments.of("body beyond its length", "H", "Content-Length: 2\r\n\r\nok", "x", SMALL_RESPONSE_BYTES));
    }

    @ParameterizedTest(name = "{0}")
    @MethodSource("endlessResponses")
    void connectionIsClosedWithinBound(String name, String head, String start, String repeated, long maxBytes)
            throws Exception {
        endpoint.then((r, s) -> writeUntilClosed(s, (head.isEmpty() ? "" : head(r, 200)) + start, repeated, 65_536))
                .then((r, s) -> write(s, response(r, 200, "fine")));
        int status = relay.exchange(RelayFixture.request("POST", "/post/", "r1", "", ""))
                .status();
        assertThat(sentBytes.get(20, TimeUnit.SECONDS), is(lessThan(maxBytes + SOCKET_BUFFER_BYTES)));
        assertThat(status, is(name.equals("body beyond its length") ? 200 : 502));
        assertThat(
                relay.exchange(RelayFixture.request("GET", "/get/", "r2", "", ""))
                        .body(),
                is("fine"));
    }

    @Test
    void streamOfBytesThatAreNoEventsIsClosedWithinBound() throws Exception {
        endpoint.then((r, s) -> writeUntilClosed(s, head(r, 200) + "Connection: close\r\n\r\n", "x", 65_536))
                .then((r, s) -> write(s, response(r, 200, "fine")));
        assertThat(
                relay.exchange(RelayFixture.request("POST", "/verdict/", "r1", "", ""))
                        .status(),
                is(502));
        assertThat(sentBytes.get(20, TimeUnit.SECONDS), is(lessThan(SMALL_RESPONSE_BYTES + SOCKET_BUFFER_BYTES)));
        assertThat(
                relay.exchange(RelayFixture.request("GET", "/get/", "r2", "", ""))
                        .body(),
                is("fine"));
    }

    @Test
    void responseInManySmallChunksIsForwardedBeforeItsDeadline() throws Exception {
        int size = 2 << 20;
        endpoint.then((r, s) -> write(
                s,
                head(r, 200) + "Transfer-Encoding: chunked\r\n\r\n" + chunk("x").repeat(size) + "0\r\n\r\n"));
        RawMessage response = relay.exchange(RelayFixture.request("POST", "/post/", "r1", "", ""));
        assertThat(response.status(), is(200));
        assertThat(response.body().length(), is(size));
    }

    // Each event was written to the caller by itself, so that a stream of small events stopped all other connections.
    @Test
    void smallEventsOfOneReadAreWrittenTogether() throws Exception {
        int events = 50_000;
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Connection: close\r\n\r\n" + "x\n\n".repeat(events));
            s.close();
        });
        try (Socket socket = relay.connect()) {
            write(socket, RelayFixture.request("POST", "/verdict/", "r1", "Connection: close\r\n", ""));
            String response = new String(socket.getInputStream().readAllBytes(), StandardCharsets.ISO_8859_1);
            String chunks = response.substring(response.indexOf("\r\n\r\n") + 4);
            assertThat(chunks.split("\n\n").length, is(greaterThanOrEqualTo(events)));
            assertThat(chunks.split("\r\n").length, is(lessThan(events / 10)));
        }
    }

    // A response without a length was copied to larger buffers over and over, which enlarged the heap.
    @Test
    void memoryAllocatedForResponseIsNearItsSize() throws Exception {
        int size = 15 << 20;
        endpoint.then((r, s) -> {
            write(s, head(r, 200) + "Connection: close\r\n\r\n" + "x".repeat(size));
            s.close();
        });
        long ioThreadId = relay.process
                .getIoThread()
                .getLoop()
                .submit(() -> Thread.currentThread().getId())
                .get();
        ThreadMXBean threads = (ThreadMXBean) ManagementFactory.getThreadMXBean();
        long before = threads.getThreadAllocatedBytes(ioThreadId);
        RawMessage response = relay.exchange(RelayFixture.request("GET", "/get/", "r1", "", ""));
        assertThat(response.body().length(), is(size));
        assertThat(threads.getThreadAllocatedBytes(ioThreadId) - before, is(lessThan(2L * size)));
    }

    @Test
    void incompleteResponsesOfAllCallsAreBoundedTogether() throws Exception {
        String part = "x".repeat(12 << 20);
        endpoint.then((r, s) -> write(s, head(r, 200) + "Connection: close\r\n\r\n" + part));
        List<CompletableFuture<Integer>> statuses = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            String request = RelayFixture.request("POST", "/post/", "r" + i, "", "");
            statuses.add(CompletableFuture.supplyAsync(() -> {
                try {
                    return relay.exchange(request).status();
                } catch (IOException e) {
                    throw new UncheckedIOException(e);
                }
            }));
        }
        List<Integer> received = new ArrayList<>();
        for (CompletableFuture<Integer> status : statuses) {
            received.add(status.get(20, TimeUnit.SECONDS));
        }
        assertThat(received, hasItem(502));
    }

    /** Events are forwarded as they are: backpressure bounds the memory, and the caller's close ends the stream. */
    @Test
    void endlessEventStreamIsClosedWhenItsCallerLeaves() throws Exception {
        endpoint.then((r, s) -> writeUntilClosed(s, head(r, 200) + "Connection: close\r\n\r\n", ": x\n\n", 65_536));
        try (Socket socket = relay.connect()) {
            write(socket, RelayFixture.request("POST", "/verdict/", "r1", "", ""));
            socket.getInputStream().readNBytes(1_000);
        }
        assertThat(sentBytes.get(20, TimeUnit.SECONDS), is(lessThan(GIVE_UP_BYTES)));
    }
}
