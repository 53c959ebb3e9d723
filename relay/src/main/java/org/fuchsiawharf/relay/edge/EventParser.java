package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Splits an event stream into complete events without changing their bytes.
 *
 * <p>An event ends with an empty line. The bytes of an incomplete event are buffered. Confined to the I/O thread.
 */
final class EventParser {
    /** A larger event is treated as malformed; events contain only a few tokens. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private ByteBuf pending = Unpooled.buffer(256);
    private int lineStart;
    private boolean hasId;
    private long id;
    private boolean released;

    /**
     * One complete event.
     *
     * @param bytes the bytes including the empty line, to be released by the receiver
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
        return pending.isReadable();
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
        if (lineLength > 0) {
            boolean valid = parseId(pending.toString(lineStart, lineLength, StandardCharsets.UTF_8));
            lineStart = pending.writerIndex();
            return valid;
        }
        ByteBuf event = pending;
        pending = Unpooled.buffer(256);
        lineStart = 0;
        StreamEvent streamEvent = new StreamEvent(event, hasId, id);
        hasId = false;
        id = 0;
        sink.accept(streamEvent);
        return true;
    }

    private boolean parseId(String line) {
        if (!line.startsWith("id:")) {
            return true;
        }
        try {
            id = Long.parseLong(line.substring("id:".length()).trim());
            hasId = true;
            return true;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
