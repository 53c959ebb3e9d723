package org.fuchsiawharf.relay;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Locale;

import org.jspecify.annotations.Nullable;

/**
 * One HTTP message as read from a socket.
 *
 * <p>Immutable and thread-safe.
 *
 * @param head the start line and the header fields
 * @param body the body, decoded if it is chunked
 */
record RawMessage(String head, String body) {
    /** Reads one message; returns null if the stream ends before the message head is complete. */
    static @Nullable RawMessage read(InputStream in) throws IOException {
        RawMessage message = readHead(in);
        if (message == null) {
            return null;
        }
        String length = message.field("content-length");
        if (length != null) {
            byte[] bytes = in.readNBytes(Integer.parseInt(length));
            return new RawMessage(message.head(), new String(bytes, StandardCharsets.ISO_8859_1));
        }
        boolean chunked = message.field("transfer-encoding") != null;
        return chunked ? new RawMessage(message.head(), readChunks(in)) : message;
    }

    /** Reads the head of one message; returns null if the stream ends before it is complete. */
    static @Nullable RawMessage readHead(InputStream in) throws IOException {
        StringBuilder head = new StringBuilder();
        while (!head.toString().endsWith("\r\n\r\n")) {
            int b = in.read();
            if (b < 0) {
                return null;
            }
            head.append((char) b);
        }
        return new RawMessage(head.toString(), "");
    }

    private static String readChunks(InputStream in) throws IOException {
        StringBuilder body = new StringBuilder();
        while (true) {
            String line = readLine(in);
            if (line == null) {
                return body + "<cut>";
            }
            int size = Integer.parseInt(line.trim(), 16);
            body.append(new String(in.readNBytes(size), StandardCharsets.ISO_8859_1));
            readLine(in);
            if (size == 0) {
                return body.toString();
            }
        }
    }

    private static @Nullable String readLine(InputStream in) throws IOException {
        StringBuilder line = new StringBuilder();
        for (int b = in.read(); b != '\n'; b = in.read()) {
            if (b < 0) {
                return null;
            }
            line.append((char) b);
        }
        return line.toString();
    }

    String startLine() {
        return head.substring(0, head.indexOf("\r\n"));
    }

    int status() {
        return Integer.parseInt(startLine().split(" ")[1]);
    }

    @Nullable
    String field(String name) {
        for (String line : head.split("\r\n")) {
            int colon = line.indexOf(':');
            if (colon > 0 && line.substring(0, colon).toLowerCase(Locale.ROOT).equals(name)) {
                return line.substring(colon + 1).trim();
            }
        }
        return null;
    }
}
