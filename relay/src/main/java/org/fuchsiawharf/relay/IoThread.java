package org.fuchsiawharf.relay;

import java.util.concurrent.TimeUnit;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The I/O thread that all connections of an instance share.
 *
 * <p>The single thread lets callers' and endpoints' connections exchange bytes without locks. Thread-safe.
 */
public final class IoThread implements AutoCloseable {
    private static final long SHUTDOWN_MILLIS = 500;

    private final TrafficCounter traffic = new TrafficCounter();
    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("io", true), NioIoHandler.newFactory()) {
                @Override
                public ChannelFuture register(Channel channel) {
                    channel.pipeline().addFirst(traffic);
                    return super.register(channel);
                }
            };

    /** Creates the thread, which starts with its first task. */
    public IoThread() {}

    /**
     * Gets the event loop group with which channels are registered.
     *
     * @return the group, never null
     */
    public EventLoopGroup getGroup() {
        return group;
    }

    /**
     * Gets the event loop, which executes tasks on the I/O thread.
     *
     * @return the event loop, never null
     */
    public EventLoop getLoop() {
        return group.next();
    }

    /**
     * Gets the counter of the bytes of all connections.
     *
     * @return the counter, never null
     */
    public TrafficCounter getTraffic() {
        return traffic;
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, SHUTDOWN_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(2 * SHUTDOWN_MILLIS);
    }
}
