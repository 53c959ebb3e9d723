package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits an event stream into complete events without changing their bytes.
 *
 * <p>An event ends with an empty line. Further empty lines are no events; their bytes belong to the event that follows.
 * The bytes of an incomplete event are buffered. Confined to the I/O thread.
 */
final class EventParser {
    /** A larger event is treated as malformed; events contain only a few tokens. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private static final int INITIAL_BUFFER_BYTES = 256;
    /** Capacity above which the buffer is replaced after an event. */
    private static final int MAX_IDLE_BUFFER_BYTES = 4_096;

    private static final byte[] ID_FIELD = "id:".getBytes(StandardCharsets.US_ASCII);

    private ByteBuf pending = Unpooled.buffer(INITIAL_BUFFER_BYTES);
    private int lineStart;
    /** Number of buffered bytes of empty lines before the incomplete event. */
    private int emptyLineBytes;

    private boolean hasId;
    private long id;
    private boolean released;

    /**
     * One complete event.
     *
     * @param bytes the bytes including the empty line, valid until the receiver returns
     * @param hasId whether the event has an id
     * @param id the id, 0 if the event has none
     */
    record StreamEvent(ByteBuf bytes, boolean hasId, long id) {}

    /** Parses bytes and passes each complete event to the sink; returns false if the stream is malformed. */
    boolean feed(ByteBuf data, Consumer<StreamEvent> sink) {
        while (data.isReadable() && !released) {
            int newlineIndex = data.bytesBefore((byte) '\n');
            if (newlineIndex < 0) {
                pending.writeBytes(data);
                break;
            }
            pending.writeBytes(data, newlineIndex + 1);
            if (!endLine(sink)) {
                return false;
            }
        }
        return pending.readableBytes() <= MAX_EVENT_BYTES;
    }

    /** Checks whether the bytes of an incomplete event are buffered. */
    boolean hasPartialEvent() {
        return pending.readableBytes() > emptyLineBytes;
    }

    /** Gets the bytes of the empty lines after the last event, valid until the next change. */
    ByteBuf getTrailingEmptyLines() {
        return pending.slice(0, emptyLineBytes);
    }

    /** Releases the buffered bytes; no further events are passed to the sink. */
    void release() {
        released = true;
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private boolean endLine(Consumer<StreamEvent> sink) {
        int lineLength = pending.writerIndex() - lineStart - 1;
        if (lineLength > 0 && pending.getByte(lineStart + lineLength - 1) == '\r') {
            lineLength--;
        }
        boolean firstLine = lineStart == emptyLineBytes;
        int start = lineStart;
        lineStart = pending.writerIndex();
        if (lineLength > 0) {
            return parseId(start, lineLength);
        }
        if (firstLine) {
            emptyLineBytes = lineStart;
            return true;
        }
        sink.accept(new StreamEvent(pending, hasId, id));
        if (!released) {
            startEvent();
        }
        return true;
    }

    private void startEvent() {
        hasId = false;
        id = 0;
        lineStart = 0;
        emptyLineBytes = 0;
        if (pending.capacity() > MAX_IDLE_BUFFER_BYTES) {
            pending.release();
            pending = Unpooled.buffer(INITIAL_BUFFER_BYTES);
        } else {
            pending.clear();
        }
    }

    private boolean parseId(int start, int length) {
        for (int i = 0; i < ID_FIELD.length; i++) {
            if (i >= length || pending.getByte(start + i) != ID_FIELD[i]) {
                return true;
            }
        }
        String value = pending.toString(start + ID_FIELD.length, length - ID_FIELD.length, StandardCharsets.UTF_8);
        try {
            id = Long.parseLong(value.trim());
            hasId = true;
            return true;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
