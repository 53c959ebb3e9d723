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

/** A TCP proxy that can delay data, discard it in one or both directions, or reset connections. */
final class FaultProxy implements AutoCloseable {
    /** The treatment of connections and their data. */
    enum Mode {
        PASS,
        /** Forwards data after a delay. */
        DELAY,
        /** Forwards requests and discards responses. */
        CUT_ANSWERS,
        /** Discards all data and keeps connections open. */
        HALF_OPEN,
        /** Resets every connection. */
        RESET
    }

    private static final long DELAY_MILLIS = 40;

    private final EventLoopGroup group;
    private final InetSocketAddress target;
    private final Channel serverChannel;
    private final Set<Channel> openChannels = ConcurrentHashMap.newKeySet();
    private volatile Mode mode = Mode.PASS;

    FaultProxy(EventLoopGroup group, int targetPort) {
        this.group = group;
        this.target = new InetSocketAddress("127.0.0.1", targetPort);
        this.serverChannel = new ServerBootstrap()
                .group(group)
                .channel(NioServerSocketChannel.class)
                .childOption(ChannelOption.AUTO_READ, false)
                .childHandler(new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel client) {
                        connectToTarget(client);
                    }
                })
                .bind("127.0.0.1", 0)
                .syncUninterruptibly()
                .channel();
    }

    int getPort() {
        return ((InetSocketAddress) serverChannel.localAddress()).getPort();
    }

    void setMode(Mode newMode) {
        mode = newMode;
        if (newMode == Mode.RESET) {
            openChannels.forEach(FaultProxy::reset);
        }
    }

    @Override
    public void close() {
        serverChannel.close();
        openChannels.forEach(Channel::close);
    }

    private void connectToTarget(SocketChannel client) {
        track(client);
        if (mode == Mode.RESET) {
            reset(client);
            return;
        }
        new Bootstrap()
                .group(group)
                .channel(NioSocketChannel.class)
                .handler(new Forwarder(client, true))
                .connect(target)
                .addListener((ChannelFutureListener) future -> {
                    if (future.isSuccess()) {
                        track(future.channel());
                        client.pipeline().addLast(new Forwarder(future.channel(), false));
                        client.config().setAutoRead(true);
                    } else {
                        reset(client);
                    }
                });
    }

    private void track(Channel channel) {
        openChannels.add(channel);
        channel.closeFuture().addListener(future -> openChannels.remove(channel));
    }

    private static void reset(Channel channel) {
        try {
            channel.config().setOption(ChannelOption.SO_LINGER, 0);
        } catch (ChannelException e) {
            // The peer has already closed the channel.
            return;
        }
        channel.close();
    }

    /** Forwards data to the other connection, subject to the mode. */
    private final class Forwarder extends ChannelInboundHandlerAdapter {
        private final Channel destination;
        private final boolean fromTarget;

        private Forwarder(Channel destination, boolean fromTarget) {
            this.destination = destination;
            this.fromTarget = fromTarget;
        }

        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            switch (mode) {
                case PASS -> destination.writeAndFlush(message);
                case DELAY ->
                    context.executor()
                            .schedule(() -> destination.writeAndFlush(message), DELAY_MILLIS, TimeUnit.MILLISECONDS);
                case CUT_ANSWERS -> {
                    if (fromTarget) {
                        ReferenceCountUtil.release((ByteBuf) message);
                    } else {
                        destination.writeAndFlush(message);
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
            destination.close();
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
