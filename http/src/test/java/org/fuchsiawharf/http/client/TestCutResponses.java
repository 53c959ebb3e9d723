package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/** Cuts responses after each byte, and ends the connection in order or by a reset. */
class TestCutResponses {
    private static final int TIMEOUT_SECONDS = 20;
    private static final int MAX_REQUEST_BYTES = 4_096;
    private static final long READ_MILLIS = 5;
    private static final int FAILED = -1;

    private static final String HEAD = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n";
    private static final String WITH_LENGTH = HEAD + "Content-Length: 2\r\n\r\n{}";
    private static final String WITHOUT_FRAMING = HEAD + "Connection: close\r\n\r\n";
    private static final String CHUNKS = HEAD + "Transfer-Encoding: chunked\r\n\r\n1\r\n{\r\n01;e=\"f\"\r\n}\r\n0\r\n";
    private static final String WITHOUT_TRAILER = CHUNKS + "\r\n";
    private static final String WITH_TRAILER = CHUNKS + "Checksum: 7\r\n\r\n";

    /** More than the buffers of the connection hold. */
    private static final byte[] LARGE_BODY = new byte[8 << 20];

    private ServerSocket server;
    private HttpClient client;

    /** Ends the connection of a response. */
    private interface Ending {
        void end(Socket socket) throws Exception;
    }

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        client = new HttpClient("test", 1);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    // -----------------------------------------------------------------------

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, WITHOUT_TRAILER, WITH_TRAILER})
    void cutResponseIsNotComplete(String response) throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            assertThat(findCompletedCuts(response, response.length() - 1, reset), is(empty()));
        }
    }

    @ParameterizedTest
    @ValueSource(strings = {WITHOUT_FRAMING})
    void responseWithoutFramingIsNotCompleteIfItsHeadIsCut(String head) throws Exception {
        for (boolean reset : new boolean[] {false, true}) {
            assertThat(findCompletedCuts(head, head.length() - 1, reset), is(empty()));
        }
    }

    @Test
    void responseWithoutFramingIsNotCompleteIfItIsReset() throws Exception {
        assertThat(isCompleted(WITHOUT_FRAMING, true), is(false));
        assertThat(isCompleted(WITHOUT_FRAMING + "{}", true), is(false));
    }

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, WITHOUT_TRAILER, WITH_TRAILER, WITHOUT_FRAMING + "{}"})
    void wholeResponseIsComplete(String response) throws Exception {
        assertThat(isCompleted(response, false), is(true));
    }

    // An invalid status, and that of an informational response, was passed on as the status of the response.
    @ParameterizedTest
    @ValueSource(strings = {"000", "099", "101", "103", "600", "999"})
    void responseWithInvalidStatusIsNotComplete(String status) throws Exception {
        assertThat(isCompleted(WITH_LENGTH.replace("200 OK", status + " X"), false), is(false));
    }

    @Test
    void responseAfterContinueIsComplete() throws Exception {
        String responses = "HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH;
        assertThat(getStatus(new byte[0], responses, Socket::close), is(200));
    }

    // The part that had arrived when the server closed its side was passed on as complete.
    @Test
    void responseWithoutFramingIsNotCompleteIfItEndsBeforeRequestIsWritten() throws Exception {
        assertThat(getStatus(LARGE_BODY, WITHOUT_FRAMING + "{}", Socket::shutdownOutput), is(FAILED));
        assertThat(getStatus(LARGE_BODY, WITHOUT_FRAMING + "{}", Socket::close), is(FAILED));
    }

    @ParameterizedTest
    @ValueSource(strings = {WITH_LENGTH, WITHOUT_TRAILER, WITH_TRAILER})
    void earlyResponseWithFramingIsComplete(String response) throws Exception {
        assertThat(getStatus(LARGE_BODY, response, Socket::shutdownOutput), is(200));
    }

    // -----------------------------------------------------------------------

    private List<String> findCompletedCuts(String response, int maxBytes, boolean reset) throws Exception {
        List<String> completed = new ArrayList<>();
        for (int bytes = 0; bytes <= maxBytes; bytes++) {
            String part = response.substring(0, bytes);
            if (isCompleted(part, reset)) {
                completed.add((reset ? "reset after " : "end after ") + part);
            }
        }
        return completed;
    }

    private boolean isCompleted(String part, boolean reset) throws Exception {
        return getStatus(new byte[0], part, reset ? TestCutResponses::reset : Socket::close) != FAILED;
    }

    private int getStatus(byte[] requestBody, String part, Ending ending) throws Exception {
        HttpTarget target = new HttpTarget("127.0.0.1", server.getLocalPort());
        BodyCollector collector = new BodyCollector();
        if (requestBody.length == 0) {
            client.get(target, "/", Map.of(), collector);
        } else {
            client.post(target, "/", Map.of(), requestBody, true, collector);
        }
        try (Socket socket = server.accept()) {
            // Closing the socket with unread request bytes would reset the connection.
            socket.getInputStream().read(new byte[MAX_REQUEST_BYTES]);
            socket.getOutputStream().write(part.getBytes(StandardCharsets.US_ASCII));
            ending.end(socket);
            return collector.getFuture().get(TIMEOUT_SECONDS, TimeUnit.SECONDS).status();
        } catch (ExecutionException e) {
            return FAILED;
        }
    }

    private static void reset(Socket socket) throws Exception {
        // A reset discards bytes that the client has not read.
        Thread.sleep(READ_MILLIS);
        socket.setSoLinger(true, 0);
        socket.close();
    }
}
