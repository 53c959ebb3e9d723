package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

/** A stand-in of a client that keeps one connection open for its requests. Confined to one thread. */
public final class Client implements AutoCloseable {
    private static final AtomicLong IDS = new AtomicLong(System.nanoTime());

    /** An answer; incomplete if the connection ended before its length or its last chunk. */
    public record Answer(int status, Map<String, String> fields, byte[] body, boolean complete, String end) {
        public String field(String name) {
            return fields.getOrDefault(name.toLowerCase(Locale.ROOT), "");
        }
    }

    private final InetSocketAddress address;
    private final int receiveBuffer;
    private Socket socket;
    private InputStream in;
    private String retryAfter = "";
    /** Bytes a second at which answers are read; 0 for no limit. */
    public int bytesPerSecond;

    public Client(InetSocketAddress address, int receiveBuffer) {
        this.address = address;
        this.receiveBuffer = receiveBuffer;
    }

    public static String newId() {
        return String.format("%016x", IDS.incrementAndGet() * 0x9E3779B97F4A7C15L);
    }

    public void connect() throws IOException {
        socket = new Socket();
        if (receiveBuffer > 0) {
            socket.setReceiveBufferSize(receiveBuffer);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(30_000);
        socket.connect(address, 1_000);
        in = receiveBuffer > 0 ? socket.getInputStream() : new BufferedInputStream(socket.getInputStream());
    }

    /** Sends a request on the open connection, or on a new one. */
    public void send(String method, String host, String path, String id, int deadlineMillis, String fields, byte[] body)
            throws IOException {
        if (socket == null || socket.isClosed()) {
            connect();
        }
        String head = method + " " + path + " HTTP/1.1\r\nHost: " + host + "\r\nX-Fuchsiawharf-Request-Id: " + id
                + "\r\nX-Fuchsiawharf-Deadline-Ms: " + deadlineMillis + "\r\n" + fields
                + (body == null ? "" : "Content-Length: " + body.length + "\r\n") + "\r\n";
        socket.getOutputStream().write(head.getBytes(StandardCharsets.ISO_8859_1));
        if (body != null) {
            socket.getOutputStream().write(body);
        }
        socket.getOutputStream().flush();
    }

    public Answer read() {
        Map<String, String> fields = new LinkedHashMap<>();
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        int status = 0;
        try {
            String line = Worker.readLine(in);
            if (line == null) {
                return end(new Answer(0, fields, new byte[0], false, "closed before an answer"));
            }
            status = Integer.parseInt(line.split(" ")[1]);
            for (String field = Worker.readLine(in); field != null && !field.isEmpty(); field = Worker.readLine(in)) {
                int colon = field.indexOf(':');
                fields.put(
                        field.substring(0, colon).trim().toLowerCase(Locale.ROOT), field.substring(colon + 1).trim());
            }
            boolean complete = fields.containsKey("transfer-encoding") ? readChunks(body) : readLength(fields, body);
            Answer answer = new Answer(
                    status, fields, body.toByteArray(), complete, complete ? "complete" : "closed within the body");
            return complete && !"close".equalsIgnoreCase(answer.field("connection")) ? answer : end(answer);
        } catch (IOException e) {
            return end(new Answer(status, fields, body.toByteArray(), false, String.valueOf(e.getMessage())));
        }
    }

    /** Reads the head of a streamed answer; returns its status, or 0 if the connection ended. */
    public int readHead() throws IOException {
        String line = Worker.readLine(in);
        if (line == null) {
            return 0;
        }
        retryAfter = "";
        for (String field = Worker.readLine(in); field != null && !field.isEmpty(); field = Worker.readLine(in)) {
            if (field.toLowerCase(Locale.ROOT).startsWith("retry-after:")) {
                retryAfter = field.substring(field.indexOf(':') + 1).trim();
            }
        }
        return Integer.parseInt(line.split(" ")[1]);
    }

    /** Gets the pause that the last head asked for, in milliseconds; 0 if it named none. */
    public long retryAfterMillis() {
        return retryAfter.isEmpty() ? 0 : (long) (1_000 * Double.parseDouble(retryAfter));
    }

    /** Reads a chunk; returns an empty text for the last one, and null if the connection ended before. */
    public String readChunk() throws IOException {
        ByteArrayOutputStream chunk = new ByteArrayOutputStream();
        String line = Worker.readLine(in);
        if (line == null || line.isEmpty()) {
            return null;
        }
        int size = Integer.parseInt(line.trim(), 16);
        boolean complete = readBytes(size, chunk);
        Worker.readLine(in);
        return complete ? chunk.toString(StandardCharsets.ISO_8859_1) : null;
    }

    private boolean readLength(Map<String, String> fields, ByteArrayOutputStream body) throws IOException {
        return readBytes(Integer.parseInt(fields.getOrDefault("content-length", "0")), body);
    }

    private boolean readChunks(ByteArrayOutputStream body) throws IOException {
        while (true) {
            String line = Worker.readLine(in);
            if (line == null) {
                return false;
            }
            int size = Integer.parseInt(line.trim(), 16);
            if (size == 0) {
                return Worker.readLine(in) != null;
            }
            if (!readBytes(size, body)) {
                return false;
            }
            Worker.readLine(in);
        }
    }

    private boolean readBytes(int count, ByteArrayOutputStream body) throws IOException {
        byte[] buffer = new byte[16_384];
        long start = System.nanoTime();
        int done = 0;
        while (done < count) {
            int n = in.read(buffer, 0, Math.min(buffer.length, count - done));
            if (n < 0) {
                return false;
            }
            body.write(buffer, 0, n);
            done += n;
            if (bytesPerSecond > 0) {
                long dueNanos = start + (long) (done * 1e9 / bytesPerSecond);
                long waitMillis = (dueNanos - System.nanoTime()) / 1_000_000;
                if (waitMillis > 0) {
                    sleep(waitMillis);
                }
            }
        }
        return true;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(millis);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Answer end(Answer answer) {
        close();
        return answer;
    }

    @Override
    public void close() {
        try {
            if (socket != null) {
                socket.close();
            }
        } catch (IOException e) {
            // Nothing is left to close.
        }
    }
}
