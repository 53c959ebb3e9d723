package org.fuchsiawharf.daemon.process;

import java.net.InetSocketAddress;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;

import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelException;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.ReferenceCountUtil;

/** A TCP proxy between two parties that can delay, cut one or both ways, reset, or hold connections half-open. */
final class FaultProxy implements AutoCloseable {
    /** What happens to the bytes. */
    enum Mode {
        PASS,
        /** Each part goes on after a delay. */
        DELAY,
        /** Requests go on, answers vanish. */
        CUT_ANSWERS,
        /** Nothing goes on, connections stay open. */
        HALF_OPEN,
        /** Every connection is reset. */
        RESET
    }

    private static final long DELAY_MILLIS = 40;

    private final EventLoopGroup group;
    private final InetSocketAddress target;
    private final Channel server;
    private final Set<Channel> open = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    FaultProxy(EventLoopGroup group, int targetPort) {
        this.group = group;
        this.target = new InetSocketAddress("127.0.0.1", targetPort);
        this.server = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel caller) {
                        connect(caller);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    int getPort() {
        return ((InetSocketAddress) server.localAddress()).getPort();
    }

    void setMode(Mode changed) {
        mode = changed;
        if (changed == Mode.RESET) {
            open.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() {
        server.close();
        open.forEach(Channel::close);
    }

    private void connect(SocketChannel caller) {
        track(caller);
        if (mode == Mode.RESET) {
            reset(caller);
            return;
        }
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new Relay(caller, true))
                .connect(target)
                .addListener((ChannelFutureListener) future -> {
                    if (future.isSuccess()) {
                        track(future.channel());
                        caller.pipeline().addLast(new Relay(future.channel(), false));
                        caller.config().setAutoRead(true);
                    } else {
                        reset(caller);
                    }
                });
    }

    private void track(Channel channel) {
        open.add(channel);
        channel.closeFuture().addListener(future -> open.remove(channel));
    }

    private static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The other side was faster, and the channel is closed already.
            return;
        }
        channel.close();
    }

    /** Passes bytes on to the other side. */
    private final class Relay extends ChannelInboundHandlerAdapter {
        private final Channel other;
        private final boolean answers;

        private Relay(Channel other, boolean answers) {
            this.other = other;
            this.answers = answers;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            switch (mode) {
                case PASS -> other.writeAndFlush(message);
                case DELAY ->
                    context.executor()
                            .schedule(() -> other.writeAndFlush(message), DELAY_MILLIS, TimeUnit.MILLISECONDS);
                case CUT_ANSWERS -> {
                    if (answers) {
                        ReferenceCountUtil.release((ByteBuf) message);
                    } else {
                        other.writeAndFlush(message);
                    }
                }
                case HALF_OPEN -> ReferenceCountUtil.release((ByteBuf) message);
                default -> {
                    ReferenceCountUtil.release((ByteBuf) message);
                    reset(context.channel());
                }
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            other.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
