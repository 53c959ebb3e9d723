package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

import io.undertow.util.HeaderMap;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a response that arrives faster than it is handled blocks neither the other calls of its I/O thread nor its
 * own cancellation.
 *
 * <p>The client has one I/O thread; the server sends an endless response on its first connection and short responses
 * on the others.
 */
class TestHttpClient {
    private static final int TIMEOUT_SECONDS = 20;
    private static final int MAX_REQUEST_BYTES = 4_096;

    private final CountDownLatch endlessResponseStarted = new CountDownLatch(1);
    private final CountDownLatch endlessResponseClosed = new CountDownLatch(1);
    private ServerSocket server;
    private HttpClient client;

    @BeforeEach
    void start() throws IOException {
        server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
        client = new HttpClient("test", 1);
        startThread(this::serve);
    }

    @AfterEach
    void stop() throws IOException {
        client.close();
        server.close();
    }

    // -----------------------------------------------------------------------

    @Test
    void completesCallWhileAnotherResponseArrivesFasterThanItIsHandled() throws InterruptedException {
        HttpCall endlessCall = client.get(target(), "/flood", Map.of(), new SlowHandler(endlessResponseStarted));
        endlessResponseStarted.await();
        BodyCollector collector = new BodyCollector();
        client.get(target(), "/small", Map.of(), collector);
        BodyCollector.Response response = collector
                .getFuture()
                .orTimeout(TIMEOUT_SECONDS, TimeUnit.SECONDS)
                .join();
        endlessCall.cancel();
        assertThat(response.status(), is(200));
    }

    @Test
    void cancelsCallWhoseResponseArrivesFasterThanItIsHandled() throws InterruptedException {
        HttpCall endlessCall = client.get(target(), "/flood", Map.of(), new SlowHandler(endlessResponseStarted));
        endlessResponseStarted.await();
        endlessCall.cancel();
        assertThat(endlessResponseClosed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS), is(true));
    }

    // -----------------------------------------------------------------------

    private HttpTarget target() {
        return new HttpTarget("127.0.0.1", server.getLocalPort());
    }

    private static void startThread(Runnable task) {
        Thread thread = new Thread(task, "test server");
        thread.setDaemon(true);
        thread.start();
    }

    private void serve() {
        try {
            Socket first = server.accept();
            startThread(() -> writeEndlessResponse(first));
            while (true) {
                try (Socket next = server.accept()) {
                    // Closing the socket with unread request bytes would reset the connection and lose the response.
                    next.getInputStream().read(new byte[MAX_REQUEST_BYTES]);
                    write(next, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                }
            }
        } catch (IOException e) {
            // The server socket was closed at the end of the test.
            return;
        }
    }

    private void writeEndlessResponse(Socket socket) {
        byte[] part = new byte[64 << 10];
        try (socket) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            while (true) {
                out.write(part);
            }
        } catch (IOException e) {
            endlessResponseClosed.countDown();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Handles each part of a response much more slowly than the server sends it. */
    private record SlowHandler(CountDownLatch started) implements HttpResponseHandler {
        @Override
        public void onHead(int status, HeaderMap headers) {}

        @Override
        public void onData(ByteBuffer data) {
            started.countDown();
            try {
                Thread.sleep(1);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailure(boolean possiblySent, IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }
}
