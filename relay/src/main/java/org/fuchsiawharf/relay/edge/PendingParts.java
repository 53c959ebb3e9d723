package org.fuchsiawharf.relay.edge;

import java.util.ArrayDeque;
import java.util.Deque;

import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.HttpContent;
import io.netty.util.ReferenceCountUtil;

/**
 * Parts of requests that wait for the response to an earlier request of their connection.
 *
 * <p>Confined to the I/O thread.
 */
final class PendingParts {
    /** Memory of a part beside its head or its bytes. */
    private static final int PART_BYTES = 256;

    private final Deque<Part> parts = new ArrayDeque<>();
    private long heldBytes;

    /**
     * A part of a request.
     *
     * @param message the decoded message, to be released by the receiver
     * @param headBytes the memory of the head in the message, in bytes, 0 if it has none
     * @param heldBytes the memory of the part, in bytes
     */
    record Part(Object message, long headBytes, long heldBytes) {}

    /**
     * Adds a part, which releases the message or keeps it until its removal.
     *
     * @param message the decoded message, not null
     * @param headBytes the memory of the head in the message, in bytes, 0 if it has none
     */
    void add(Object message, long headBytes) {
        Object kept = message;
        long bytes = PART_BYTES + headBytes;
        if (message instanceof HttpContent content && content.content().isReadable()) {
            // A slice of a received buffer would hold the whole buffer.
            kept = content.replace(Unpooled.copiedBuffer(content.content()));
            bytes += content.content().readableBytes();
            content.release();
        }
        parts.add(new Part(kept, headBytes, bytes));
        heldBytes += bytes;
    }

    boolean isEmpty() {
        return parts.isEmpty();
    }

    Part remove() {
        Part part = parts.remove();
        heldBytes -= part.heldBytes();
        return part;
    }

    /** Gets the memory of all parts, in bytes. */
    long getHeldBytes() {
        return heldBytes;
    }

    void release() {
        parts.forEach(part -> ReferenceCountUtil.release(part.message()));
        parts.clear();
        heldBytes = 0;
    }
}
