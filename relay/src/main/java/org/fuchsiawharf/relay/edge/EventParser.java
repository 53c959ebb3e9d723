package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.function.Consumer;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Cuts an event stream into whole events without changing their bytes.
 *
 * <p>An event ends with an empty line. Bytes of an event that is not whole stay here. Confined to the I/O thread.
 */
final class EventParser {
    /** An event above this size is taken for a fault of the endpoint; events hold a few tokens. */
    private static final int MAX_EVENT_BYTES = 1 << 20;

    private ByteBuf pending = Unpooled.buffer(256);
    private int lineStart;
    private boolean idSeen;
    private long id;
    private boolean released;

    /**
     * One whole event.
     *
     * @param bytes its bytes with the empty line, to be released by the receiver
     * @param hasId whether it has an id
     * @param id its id, 0 without one
     */
    record StreamEvent(ByteBuf bytes, boolean hasId, long id) {}

    /** Takes bytes and hands on each event that is whole; false if the bytes are no event stream. */
    boolean feed(ByteBuf data, Consumer<StreamEvent> sink) {
        while (data.isReadable() && !released) {
            int newline = data.bytesBefore((byte) '\n');
            if (newline < 0) {
                pending.writeBytes(data);
                break;
            }
            pending.writeBytes(data, newline + 1);
            if (!endLine(sink)) {
                return false;
            }
        }
        return pending.readableBytes() <= MAX_EVENT_BYTES;
    }

    /** Tells whether bytes of an event that is not whole are left. */
    boolean hasLeftover() {
        return pending.isReadable();
    }

    /** Drops what is left; nothing more is handed on. */
    void release() {
        released = true;
        pending.release();
        pending = Unpooled.EMPTY_BUFFER;
    }

    private boolean endLine(Consumer<StreamEvent> sink) {
        int length = pending.writerIndex() - lineStart - 1;
        if (length > 0 && pending.getByte(lineStart + length - 1) == '\r') {
            length--;
        }
        if (length > 0) {
            boolean fine = noteId(pending.toString(lineStart, length, StandardCharsets.UTF_8));
            lineStart = pending.writerIndex();
            return fine;
        }
        ByteBuf event = pending;
        pending = Unpooled.buffer(256);
        lineStart = 0;
        StreamEvent whole = new StreamEvent(event, idSeen, id);
        idSeen = false;
        id = 0;
        sink.accept(whole);
        return true;
    }

    private boolean noteId(String line) {
        if (!line.startsWith("id:")) {
            return true;
        }
        try {
            id = Long.parseLong(line.substring("id:".length()).trim());
            idSeen = true;
            return true;
        } catch (NumberFormatException e) {
            return false;
        }
    }
}
