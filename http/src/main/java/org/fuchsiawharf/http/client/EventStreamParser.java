package org.fuchsiawharf.http.client;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

/**
 * Parses a text/event-stream body into events, as defined by the WHATWG HTML standard.
 *
 * <p>Comments and unknown fields are ignored. Confined to one thread.
 */
public final class EventStreamParser {
    private static final int MAX_LINE_BYTES = 1 << 20;

    private final Consumer<StreamEvent> receiver;
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private final StringBuilder data = new StringBuilder();
    private String id = "";
    private String type = "";
    private boolean hasData;
    private boolean afterCarriageReturn;

    /**
     * Creates a parser.
     *
     * @param receiver receives each event, not null
     */
    public EventStreamParser(Consumer<StreamEvent> receiver) {
        this.receiver = receiver;
    }

    /**
     * One event.
     *
     * <p>Immutable and thread-safe.
     *
     * @param id the last event id, empty if none was received
     * @param type the event's type, {@code message} if none was received
     * @param data the data lines, joined by line feeds
     */
    public record StreamEvent(String id, String type, String data) {}

    /**
     * Parses a part of the body.
     *
     * @param part the part, not null
     * @throws IllegalStateException if a line is longer than 1 MiB
     */
    public void feed(ByteBuffer part) {
        while (part.hasRemaining()) {
            byte next = part.get();
            if (next == '\n' && afterCarriageReturn) {
                afterCarriageReturn = false;
            } else if (next == '\n' || next == '\r') {
                afterCarriageReturn = next == '\r';
                endLine();
            } else {
                afterCarriageReturn = false;
                if (line.size() >= MAX_LINE_BYTES) {
                    throw new IllegalStateException("event stream line is longer than " + MAX_LINE_BYTES + " bytes");
                }
                line.write(next);
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (text.isEmpty()) {
            dispatch();
            return;
        }
        int colon = text.indexOf(':');
        String field = colon < 0 ? text : text.substring(0, colon);
        String value = colon < 0 ? "" : text.substring(colon + 1);
        setField(field, value.startsWith(" ") ? value.substring(1) : value);
    }

    private void setField(String field, String value) {
        if (field.equals("data")) {
            data.append(hasData ? "\n" : "").append(value);
            hasData = true;
        } else if (field.equals("id")) {
            id = value;
        } else if (field.equals("event")) {
            type = value;
        }
    }

    private void dispatch() {
        if (hasData) {
            receiver.accept(new StreamEvent(id, type.isEmpty() ? "message" : type, data.toString()));
        }
        data.setLength(0);
        hasData = false;
        type = "";
    }
}
