package org.fuchsiawharf.peer;

import java.util.function.LongConsumer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;

/**
 * Splits received bytes into frames, and reports the memory that an incomplete frame takes.
 *
 * <p>Confined to the I/O thread.
 */
final class CountingFrameDecoder extends LengthFieldBasedFrameDecoder {
    private final LongConsumer onHeldBytes;

    /**
     * Creates a decoder.
     *
     * @param maxFrameBytes the maximum size of a frame, in bytes
     * @param lengthBytes the size of the length before each frame, in bytes
     * @param onHeldBytes receives the memory of the incomplete frame after each read, in bytes, not null
     */
    CountingFrameDecoder(int maxFrameBytes, int lengthBytes, LongConsumer onHeldBytes) {
        super(maxFrameBytes, 0, lengthBytes, 0, lengthBytes);
        this.onHeldBytes = onHeldBytes;
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) throws Exception {
        super.channelReadComplete(context);
        onHeldBytes.accept(internalBuffer().capacity());
    }
}
