package org.fuchsiawharf.relay;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestTrafficCounter {
    private static final int REQUEST_BYTES = 70_000;

    /** Echoes the received bytes twice. */
    private static final class DoublingHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void channelRead(ChannelHandlerContext context, Object message) {
            context.write(((ByteBuf) message).retainedDuplicate());
            context.writeAndFlush(message, context.voidPromise());
        }
    }

    @Test
    void countsBytesOfAllConnectionsInBothDirections() throws Exception {
        IoThread io = new IoThread();
        Channel server = new ServerBootstrap()
                .group(io.getGroup())
                .channel(NioServerSocketChannel.class)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new DoublingHandler());
                    }
                })
                .bind(InetAddress.getLoopbackAddress(), 0)
                .sync()
                .channel();
        InetSocketAddress address = (InetSocketAddress) server.localAddress();
        for (int i = 0; i < 2; i++) {
            try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
                socket.getOutputStream().write(new byte[REQUEST_BYTES]);
                socket.getInputStream().readNBytes(2 * REQUEST_BYTES);
            }
        }
        io.close();
        assertThat(io.getTraffic().takeReceivedBytes(), is(2L * REQUEST_BYTES));
        assertThat(io.getTraffic().takeSentBytes(), is(4L * REQUEST_BYTES));
        assertThat(io.getTraffic().takeSentBytes(), is(0L));
    }
}
