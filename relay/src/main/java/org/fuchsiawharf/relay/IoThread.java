package org.fuchsiawharf.relay;

import java.util.concurrent.TimeUnit;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;

/**
 * The one thread that all connections of an instance share.
 *
 * <p>Callers' and endpoints' connections so exchange bytes without locks. Thread-safe.
 */
public final class IoThread implements AutoCloseable {
    private static final long STOP_MILLIS = 500;

    private final EventLoopGroup group =
            new MultiThreadIoEventLoopGroup(1, new DefaultThreadFactory("io", true), NioIoHandler.newFactory());

    /** Creates the thread; it starts with its first task. */
    public IoThread() {}

    /**
     * Gets the group to register channels with.
     *
     * @return the group, never null
     */
    public EventLoopGroup getGroup() {
        return group;
    }

    /**
     * Gets the thread's executor.
     *
     * @return the event loop, never null
     */
    public EventLoop getLoop() {
        return group.next();
    }

    @Override
    public void close() {
        group.shutdownGracefully(0, STOP_MILLIS, TimeUnit.MILLISECONDS).awaitUninterruptibly(2 * STOP_MILLIS);
    }
}
