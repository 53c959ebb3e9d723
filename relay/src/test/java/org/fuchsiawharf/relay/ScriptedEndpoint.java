package org.fuchsiawharf.relay;

import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.LinkedBlockingQueue;

/**
 * A fake endpoint on raw sockets that responds to each request with the next step of a script.
 *
 * <p>Thread-safe.
 */
final class ScriptedEndpoint implements AutoCloseable {
    /** Responds to one request; the connection stays open if the step returns normally. */
    @FunctionalInterface
    interface Step {
        void respond(RawMessage request, Socket socket) throws Exception;
    }

    final List<RawMessage> requests = new CopyOnWriteArrayList<>();
    /** The reasons for which connections ended, one entry per connection. */
    final LinkedBlockingQueue<String> endedConnections = new LinkedBlockingQueue<>();

    private final ServerSocket server;
    private final LinkedBlockingQueue<Step> script = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Step> earlySteps = new LinkedBlockingQueue<>();
    private final List<Socket> sockets = new CopyOnWriteArrayList<>();
    volatile int connectionCount;

    ScriptedEndpoint() throws IOException {
        this(0);
    }

    ScriptedEndpoint(int port) throws IOException {
        server = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        start(this::accept);
    }

    int port() {
        return server.getLocalPort();
    }

    /** Adds a step to the script; the last step handles all further requests. */
    ScriptedEndpoint then(Step step) {
        script.add(step);
        return this;
    }

    /** Adds a step that handles the first request of a connection before its body is read, which it never is. */
    ScriptedEndpoint early(Step step) {
        earlySteps.add(step);
        return this;
    }

    /** Handles all further requests with one step. */
    void replaceScript(Step step) {
        script.clear();
        script.add(step);
    }

    static void write(Socket socket, String text) throws IOException {
        OutputStream output = socket.getOutputStream();
        output.write(text.getBytes(StandardCharsets.ISO_8859_1));
        output.flush();
    }

    /** Builds a complete response with the id of the request and a signature. */
    static String response(RawMessage request, int status, String body) {
        return head(request, status) + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    static String head(RawMessage request, int status) {
        return "HTTP/1.1 " + status + " X\r\nWharf-Request-Id: " + request.field("wharf-request-id")
                + "\r\nWharf-Signature: sig\r\n";
    }

    static String chunk(String data) {
        return Integer.toHexString(data.length()) + "\r\n" + data + "\r\n";
    }

    static String event(long id) {
        return "id: " + id + "\ndata: e" + id + "\n\n";
    }

    /** Closes the connection with a TCP reset. */
    static void reset(Socket socket) throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    private void accept() {
        while (!server.isClosed()) {
            try {
                Socket socket = server.accept();
                connectionCount++;
                sockets.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try {
            Step early = earlySteps.poll();
            if (early != null) {
                early.respond(Objects.requireNonNull(RawMessage.readHead(socket.getInputStream())), socket);
                return;
            }
            for (RawMessage request = RawMessage.read(socket.getInputStream());
                    request != null;
                    request = RawMessage.read(socket.getInputStream())) {
                requests.add(request);
                Step step = script.size() > 1 ? script.take() : script.peek();
                if (step != null) {
                    step.respond(request, socket);
                }
            }
            endedConnections.add("closed");
        } catch (Exception e) {
            endedConnections.add(String.valueOf(e.getMessage()));
        }
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "scripted-endpoint");
        thread.setDaemon(true);
        thread.start();
    }

    @Override
    public void close() throws IOException {
        server.close();
        for (Socket socket : sockets) {
            socket.close();
        }
    }
}
