package org.fuchsiawharf.relay.client;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpVersion;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.instance.MicrometerMeters;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Ends responses in different ways, in part while their requests are written, on raw sockets. */
class TestResponseEnd {
    private static final int RESETS = 10;
    /** More than the buffers of the connection hold. */
    private static final int LARGE_BODY_BYTES = 8 << 20;

    private static final String RESPONSE = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n\r\npart of the body";

    private final IoThread io = new IoThread();
    private final HttpClient client = new HttpClient(io, "Request-Id", new DirectConnector(io, new MicrometerMeters()));
    private final ServerSocket server;

    /** Ends the response after its head and a part of its body. */
    private interface Ending {
        void end(Socket socket) throws Exception;
    }

    TestResponseEnd() throws Exception {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    }

    @AfterEach
    void stop() throws Exception {
        server.close();
        io.close();
    }

    // Sends a request, starts its response while at most a part of the request has been read, and gets the outcome.
    private String exchange(int requestBytes, Ending ending) throws Exception {
        return exchange(requestBytes, RESPONSE, ending);
    }

    private String exchange(int requestBytes, String response, Ending ending) throws Exception {
        CompletableFuture<String> outcome = new CompletableFuture<>();
        DefaultHttpRequest head = new DefaultHttpRequest(HttpVersion.HTTP_1_1, HttpMethod.POST, "/");
        head.headers().set("Content-Length", requestBytes);
        HttpCall call = new HttpCall(
                new InetSocketAddress(server.getInetAddress(), server.getLocalPort()),
                null,
                head,
                Unpooled.wrappedBuffer(new byte[requestBytes]),
                "r1",
                0,
                1,
                HttpCall.UNLIMITED_BYTES);
        client.send(call, new Outcome(outcome));
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1_000]);
            socket.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
            Thread.sleep(20);
            ending.end(socket);
            return outcome.get(20, TimeUnit.SECONDS);
        }
    }

    private static void reset(Socket socket) throws Exception {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private record Outcome(CompletableFuture<String> result) implements ResponseListener {
        @Override
        public void onHead(int status, HttpHeaders fields) {}

        @Override
        public void onData(ByteBuf data) {}

        @Override
        public void onComplete() {
            result.complete("complete");
        }

        @Override
        public void onFailed(CallFailure failure, String detail) {
            result.complete(failure.name());
        }
    }

    // -----------------------------------------------------------------------

    // The reset was met by the pending write of the request, and the part that had arrived was passed on as complete.
    @Test
    void resetWhileRequestIsWrittenLeavesResponseIncomplete() throws Exception {
        for (int i = 0; i < RESETS; i++) {
            assertThat(exchange(LARGE_BODY_BYTES, TestResponseEnd::reset), is("LOST"));
        }
    }

    @Test
    void resetAfterRequestIsWrittenLeavesResponseIncomplete() throws Exception {
        assertThat(exchange(10, TestResponseEnd::reset), is("LOST"));
    }

    @Test
    void regularEndOfConnectionCompletesResponse() throws Exception {
        assertThat(exchange(10, Socket::close), is("complete"));
        assertThat(exchange(10, Socket::shutdownOutput), is("complete"));
        assertThat(exchange(0, Socket::close), is("complete"));
    }

    // The part that had arrived when the server closed its side was passed on as complete.
    @Test
    void closeWhileRequestIsWrittenLeavesResponseIncomplete() throws Exception {
        assertThat(exchange(LARGE_BODY_BYTES, Socket::close), is("LOST"));
        assertThat(exchange(LARGE_BODY_BYTES, Socket::shutdownOutput), is("LOST"));
    }

    // The reset of a request that the operating system had taken over follows the end of the server's side unseen.
    @ParameterizedTest
    @ValueSource(ints = {100_000, 1 << 20, 3 << 20})
    void closeBeforeRequestIsReadLeavesResponseIncomplete(int requestBytes) throws Exception {
        for (int i = 0; i < RESETS; i++) {
            assertThat(exchange(requestBytes, Socket::close), is("LOST"));
        }
    }

    // Reading the rest of the request completes its write, but says nothing about the end of the response.
    @Test
    void requestThatIsWrittenDuringResponseLeavesItsEndUnknown() throws Exception {
        Ending readAndClose = socket -> {
            socket.getInputStream().readNBytes(LARGE_BODY_BYTES - 1_000);
            socket.close();
        };
        assertThat(exchange(LARGE_BODY_BYTES, readAndClose), is("LOST"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"Content-Length: 2\r\n\r\nok", "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n"})
    void earlyResponseWithFramingIsCompleteAndEndsRequest(String fieldsAndBody) throws Exception {
        AtomicLong restBytes = new AtomicLong();
        Ending countRest = socket -> restBytes.set(countUntilEnd(socket.getInputStream()));
        String response = "HTTP/1.1 200 OK\r\nRequest-Id: r1\r\n" + fieldsAndBody;
        assertThat(exchange(LARGE_BODY_BYTES, response, countRest), is("complete"));
        assertThat(restBytes.get(), is(lessThan(LARGE_BODY_BYTES - 1_000L)));
    }

    private static long countUntilEnd(InputStream input) {
        long bytes = 0;
        try {
            while (input.read() >= 0) {
                bytes++;
            }
        } catch (IOException e) {
            // The client has reset the connection, which is an end as well.
            return bytes;
        }
        return bytes;
    }
}
