package org.fuchsiawharf.relay;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.concurrent.ThreadLocalRandom;

/**
 * Finds free TCP ports on the loopback address.
 *
 * <p>The ports are below those that operating systems assign to outgoing connections, which could otherwise take a port
 * before its server binds it. Thread-safe.
 */
public final class LoopbackPorts {
    private static final int FIRST_PORT = 20_000;
    private static final int LAST_PORT = 32_000;
    private static final int MAX_TRIES = 1_000;

    private LoopbackPorts() {}

    /**
     * Finds a port that is free at the time of the call.
     *
     * @return the port
     * @throws IOException if no free port was found
     */
    public static int findFree() throws IOException {
        IOException last = new IOException("no port tried");
        for (int i = 0; i < MAX_TRIES; i++) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_PORT, LAST_PORT);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (IOException e) {
                // Another port may be free; the last failure is thrown if none is.
                last = e;
            }
        }
        throw last;
    }
}
