package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/**
 * A stand-in of a worker. It answers 421 to a request for another instance, and passes all others to its handler.
 *
 * <p>Thread-safe.
 */
public final class Worker {
    /** One request whose body has not been read. */
    public static final class Request {
        public final Socket socket;
        public final InputStream in;
        public final OutputStream out;
        public final String line;
        public final Map<String, String> fields;

        Request(Socket socket, InputStream in, String line, Map<String, String> fields) throws IOException {
            this.socket = socket;
            this.in = in;
            this.out = socket.getOutputStream();
            this.line = line;
            this.fields = fields;
        }

        public String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }

        public String id() {
            return field("X-Fuchsiawharf-Request-Id");
        }

        public int length() {
            String value = field("Content-Length");
            return value.isEmpty() ? 0 : Integer.parseInt(value);
        }

        public byte[] readBody() throws IOException {
            return in.readNBytes(length());
        }

        /** Writes a complete response with a length. */
        public void answer(int status, String extraFields, byte[] body) throws IOException {
            String head = "HTTP/1.1 " + status + " X\r\nX-Fuchsiawharf-Request-Id: " + id()
                    + "\r\nContent-Length: " + body.length + "\r\n" + extraFields + "\r\n";
            out.write(head.getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            out.flush();
        }
    }

    /** Answers a request; returns whether the connection stays open. */
    public interface Handler {
        boolean handle(Request request) throws Exception;
    }

    public final String id;
    public final String service;
    public final String zone;
    public final InetSocketAddress address;
    public String version = "v1";
    private final ServerSocket server;
    private final Handler handler;
    private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private long sequence;

    public Worker(String id, String service, String zone, String host, int receiveBuffer, Handler handler)
            throws IOException {
        this(id, service, zone, new InetSocketAddress(host, 0), receiveBuffer, handler);
    }

    private Worker(
            String id, String service, String zone, InetSocketAddress listen, int receiveBuffer, Handler handler)
            throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.handler = handler;
        this.server = new ServerSocket();
        if (receiveBuffer > 0) {
            server.setReceiveBufferSize(receiveBuffer);
        }
        server.bind(listen, 200);
        this.address = (InetSocketAddress) server.getLocalSocketAddress();
        start(this::accept);
    }

    /** The entry that the worker writes to the store; each call is the next ping. */
    public synchronized String entry(String state) {
        return "{\"service\":\"" + service + "\",\"address\":\"" + address.getHostString() + ":" + address.getPort()
                + "\",\"zone\":\"" + zone + "\",\"version\":\"" + version + "\",\"slots\":8,\"state\":\"" + state
                + "\",\"cold_remaining_ms\":0,\"sequence\":" + ++sequence + ",\"born\":" + born + "}";
    }

    /** Ends the worker: resets its connections and stops listening. */
    public void crash() throws IOException {
        server.close();
        for (Socket socket : connections) {
            socket.setSoLinger(true, 0);
            socket.close();
        }
    }

    /** Starts the worker again under its id and at its address, after {@link #crash}. */
    public Worker restart(Handler newHandler, String newVersion) throws IOException {
        Worker worker = new Worker(id, service, zone, address, 0, newHandler);
        worker.version = newVersion;
        return worker;
    }

    private static void start(Runnable task) {
        Thread thread = new Thread(task, "worker");
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (true) {
            try {
                Socket socket = server.accept();
                socket.setTcpNoDelay(true);
                connections.add(socket);
                start(() -> serve(socket));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void serve(Socket socket) {
        try (socket) {
            InputStream in = new BufferedInputStream(socket.getInputStream(), 4_096);
            boolean open = true;
            while (open) {
                Request request = readHead(socket, in);
                if (request == null) {
                    return;
                }
                String expected = request.field("X-Fuchsiawharf-Expect-Instance");
                if (!expected.isEmpty() && !expected.equals(id)) {
                    request.readBody();
                    request.answer(421, "X-Fuchsiawharf-Not-Executed: 1\r\n", new byte[0]);
                } else {
                    open = handler.handle(request);
                }
            }
        } catch (Exception e) {
            // The caller closed the connection.
        } finally {
            connections.remove(socket);
        }
    }

    private static Request readHead(Socket socket, InputStream in) throws IOException {
        String line = readLine(in);
        if (line == null) {
            return null;
        }
        Map<String, String> fields = new LinkedHashMap<>();
        for (String field = readLine(in); field != null && !field.isEmpty(); field = readLine(in)) {
            int colon = field.indexOf(':');
            fields.put(field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
        }
        return new Request(socket, in, line, fields);
    }

    static String readLine(InputStream in) throws IOException {
        ByteArrayOutputStream line = new ByteArrayOutputStream();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return line.size() == 0 ? null : line.toString(StandardCharsets.ISO_8859_1);
            }
            if (b != '\r') {
                line.write(b);
            }
        }
        return line.toString(StandardCharsets.ISO_8859_1);
    }
}
