package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufAllocator;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.buffer.UnpooledByteBufAllocator;

/**
 * Collects a body of unknown size without copying what has been collected.
 *
 * <p>The data is copied once, into parts of a fixed size: a retained slice of a small chunk would hold its whole receive
 * buffer, and one buffer that grows would be copied, and garbage, several times over. Confined to the I/O thread.
 */
final class BodyCollector {
    private static final int INITIAL_PART_BYTES = 256;
    private static final int MAX_PART_BYTES = 64 * 1024;

    private static final ByteBufAllocator HEAP = new UnpooledByteBufAllocator(false);

    private final ByteBufAllocator allocator;
    private final CompositeByteBuf parts = Unpooled.compositeBuffer(Integer.MAX_VALUE);
    private ByteBuf currentPart;

    /** Creates a collector whose parts are in the heap. */
    BodyCollector() {
        this(HEAP);
    }

    /**
     * Creates a collector.
     *
     * @param allocator allocates the parts, not null
     */
    BodyCollector(ByteBufAllocator allocator) {
        this.allocator = allocator;
        this.currentPart = newPart();
    }

    private ByteBuf newPart() {
        return allocator.buffer(INITIAL_PART_BYTES, MAX_PART_BYTES);
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

    /** Gets the memory that the parts take, in bytes. */
    int getHeldBytes() {
        return parts.readableBytes() + currentPart.capacity();
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
