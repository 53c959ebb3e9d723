package org.fuchsiawharf.relay;

import java.util.concurrent.atomic.AtomicLong;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;

/**
 * Counts the bytes that the connections of an instance receive and send, without the headers of TCP and IP.
 *
 * <p>It is the first handler of every pipeline. Bytes count as sent once the socket has accepted them, so that those
 * queued for a slow link do not. Thread-safe.
 */
@Sharable
public final class TrafficCounter extends ChannelDuplexHandler {
    private final AtomicLong receivedBytes = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();

    TrafficCounter() {}

    /**
     * Gets the number of bytes received since the last call.
     *
     * @return the count, at least 0
     */
    public long takeReceivedBytes() {
        return receivedBytes.getAndSet(0);
    }

    /**
     * Gets the number of bytes sent since the last call.
     *
     * @return the count, at least 0
     */
    public long takeSentBytes() {
        return sentBytes.getAndSet(0);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (message instanceof ByteBuf buffer) {
            receivedBytes.addAndGet(buffer.readableBytes());
        }
        context.fireChannelRead(message);
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf buffer && buffer.isReadable()) {
            int bytes = buffer.readableBytes();
            ChannelPromise counted = promise.unvoid();
            counted.addListener(written -> {
                if (written.isSuccess()) {
                    sentBytes.addAndGet(bytes);
                }
            });
            context.write(message, counted);
        } else {
            context.write(message, promise);
        }
    }
}
