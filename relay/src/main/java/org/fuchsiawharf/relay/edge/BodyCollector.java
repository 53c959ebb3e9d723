package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;

/**
 * Collects a body of unknown size without copying what has been collected.
 *
 * <p>The data is copied once, into parts of a fixed size: a retained slice of a small chunk would hold its whole receive
 * buffer, and one buffer that grows would be copied, and garbage, several times over. Confined to the I/O thread.
 */
final class BodyCollector {
    private static final int INITIAL_PART_BYTES = 256;
    private static final int MAX_PART_BYTES = 64 * 1024;

    private final CompositeByteBuf parts = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    private ByteBuf currentPart = newPart();

    private static ByteBuf newPart() {
        return Unpooled.buffer(INITIAL_PART_BYTES, MAX_PART_BYTES);
    }

    /** Adds the readable bytes of a buffer, which is neither retained nor released. */
    void add(ByteBuf data) {
        while (data.isReadable()) {
            if (currentPart.maxWritableBytes() == 0) {
                parts.addComponent(true, currentPart);
                currentPart = newPart();
            }
            currentPart.writeBytes(data, Math.min(data.readableBytes(), currentPart.maxWritableBytes()));
        }
    }

    int size() {
        return parts.readableBytes() + currentPart.readableBytes();
    }

    /** Ends the collection; the receiver releases the body. */
    ByteBuf complete() {
        return parts.addComponent(true, currentPart);
    }

    /** Discards what has been collected; called instead of {@link #complete}. */
    void release() {
        currentPart.release();
        parts.release();
    }
}
