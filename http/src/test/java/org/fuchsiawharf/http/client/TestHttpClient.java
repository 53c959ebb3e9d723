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

/** One I/O thread, and a server whose first connection floods while the others answer. */
class TestHttpClient {
    private static final int PATIENCE_SECONDS = 20;
    private static final int REQUEST_BYTES = 4_096;

    private final CountDownLatch flooded = new CountDownLatch(1);
    private final CountDownLatch floodBroken = new CountDownLatch(1);
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
    void answersACallBesideOneWhoseResponseComesFasterThanItIsHandled() throws InterruptedException {
        HttpCall flood = client.get(target(), "/flood", Map.of(), new SlowHandler(flooded));
        flooded.await();
        BodyCollector collector = new BodyCollector();
        client.get(target(), "/small", Map.of(), collector);
        BodyCollector.Response response = collector
                .getFuture()
                .orTimeout(PATIENCE_SECONDS, TimeUnit.SECONDS)
                .join();
        flood.cancel();
        assertThat(response.status(), is(200));
    }

    @Test
    void cancelsACallWhoseResponseComesFasterThanItIsHandled() throws InterruptedException {
        HttpCall flood = client.get(target(), "/flood", Map.of(), new SlowHandler(flooded));
        flooded.await();
        flood.cancel();
        assertThat(floodBroken.await(PATIENCE_SECONDS, TimeUnit.SECONDS), is(true));
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
            startThread(() -> flood(first));
            while (true) {
                try (Socket next = server.accept()) {
                    // Closing with a request unread would reset the connection, and the response with it.
                    next.getInputStream().read(new byte[REQUEST_BYTES]);
                    write(next, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}");
                }
            }
        } catch (IOException e) {
            // The test is over: its server was closed.
            return;
        }
    }

    private void flood(Socket socket) {
        byte[] part = new byte[64 << 10];
        try (socket) {
            write(socket, "HTTP/1.1 200 OK\r\nContent-Length: 100000000000\r\n\r\n");
            OutputStream out = socket.getOutputStream();
            while (true) {
                out.write(part);
            }
        } catch (IOException e) {
            floodBroken.countDown();
        }
    }

    private static void write(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
    }

    /** Needs far longer for a part than the server does. */
    private record SlowHandler(CountDownLatch started) implements HttpHandlerCallbacks {
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
        public void onFailure(boolean sent, IOException cause) {
            throw new UncheckedIOException(cause);
        }
    }
}
