package org.fuchsiawharf.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

import static org.fuchsiawharf.relay.ScriptedEndpoint.head;
import static org.fuchsiawharf.relay.ScriptedEndpoint.response;
import static org.fuchsiawharf.relay.ScriptedEndpoint.write;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/** Sends requests to a sound endpoint while streams of small events without end are relayed. */
class TestSoundCallsBesideEndlessStreams {
    private static final int STREAMS = RelayFixture.MAX_CONNECTIONS - 1;
    private static final int REQUESTS = 20;
    /** More turns of the I/O thread than a request takes: accepting, connecting, each read and write, and the hops between. */
    private static final long MAX_TURNS = 16;
    /** Bytes of the streams that are read in one turn, a few thousand small events of each. */
    private static final long TURN_BYTES = STREAMS * 16_384L;

    private static final int BLOCK_BYTES = 60_000;

    private final ScriptedEndpoint endpoint = new ScriptedEndpoint();
    private final RelayFixture relay = new RelayFixture(endpoint);
    private final List<Socket> callers = new ArrayList<>();
    private final AtomicLong streamedBytes = new AtomicLong();

    TestSoundCallsBesideEndlessStreams() throws Exception {}

    @AfterEach
    void stop() throws Exception {
        for (Socket caller : callers) {
            caller.close();
        }
        relay.close();
        endpoint.close();
    }

    private static void writeWithoutEnd(Socket socket) throws IOException {
        byte[] block = "x\n\n".repeat(BLOCK_BYTES / 3).getBytes(StandardCharsets.ISO_8859_1);
        OutputStream output = socket.getOutputStream();
        while (true) {
            output.write(block);
        }
    }

    private void readWithoutEnd(Socket caller) {
        byte[] buffer = new byte[BLOCK_BYTES];
        try {
            for (int length = caller.getInputStream().read(buffer);
                    length >= 0;
                    length = caller.getInputStream().read(buffer)) {
                streamedBytes.addAndGet(length);
            }
        } catch (IOException e) {
            // The end of the test closes the socket.
            Thread.currentThread().interrupt();
        }
    }

    // A connection had so many bytes parsed in its turn that others waited for seconds beside endless small events.
    @Test
    void oneTurnOfEachStreamIsShort() throws Exception {
        CountDownLatch begun = new CountDownLatch(STREAMS);
        for (int i = 0; i < STREAMS; i++) {
            endpoint.then((r, s) -> {
                write(s, head(r, 200) + "Connection: close\r\n\r\n");
                begun.countDown();
                writeWithoutEnd(s);
            });
        }
        endpoint.then((r, s) -> write(s, response(r, 200, "fine")));
        for (int i = 0; i < STREAMS; i++) {
            Socket caller = relay.connect();
            callers.add(caller);
            write(caller, RelayFixture.request("POST", "/verdict/", "s" + i, "", ""));
            Thread reader = new Thread(() -> readWithoutEnd(caller), "reader");
            reader.setDaemon(true);
            reader.start();
        }
        begun.await();
        long[] bytesByRequest = new long[REQUESTS];
        for (int i = 0; i < REQUESTS; i++) {
            long before = streamedBytes.get();
            int status = relay.exchange(RelayFixture.request("GET", "/get/", "r" + i, "", ""))
                    .status();
            assertThat(status, is(200));
            bytesByRequest[i] = streamedBytes.get() - before;
        }
        Arrays.sort(bytesByRequest);
        assertThat(bytesByRequest[REQUESTS / 2], is(lessThan(MAX_TURNS * TURN_BYTES)));
    }
}
