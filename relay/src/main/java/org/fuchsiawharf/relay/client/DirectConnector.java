package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.SocketOptions;

/**
 * Opens TCP connections to the address of a call.
 *
 * <p>Confined to the I/O thread.
 */
public final class DirectConnector implements Connector {
    /** Several round trips, but less than the initial retransmission timeout of a SYN (1 s). */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;

    private final EventLoop loop;
    private final Bootstrap bootstrap;
    private final Meters meters;

    /**
     * Creates a connector.
     *
     * @param io the I/O thread, not null
     * @param meters records metrics, not null
     */
    public DirectConnector(IoThread io, Meters meters) {
        this.loop = io.getLoop();
        this.bootstrap = newBootstrap(io, CONNECT_TIMEOUT_MILLIS);
        this.meters = meters;
    }

    /**
     * Creates the settings of outgoing connections.
     *
     * @param io the I/O thread, not null
     * @param connectTimeoutMillis the connect timeout, in milliseconds
     * @return a new bootstrap without a handler, never null
     */
    public static Bootstrap newBootstrap(IoThread io, int connectTimeoutMillis) {
        Bootstrap bootstrap = new Bootstrap().group(io.getGroup()).channel(NioSocketChannel.class);
        SocketOptions.apply(bootstrap, connectTimeoutMillis);
        // The end of the server's side is then reported as an event, apart from failures of the connection.
        return bootstrap.option(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    /** Gets the event loop of the I/O thread. */
    EventLoop getLoop() {
        return loop;
    }

    @Override
    public void connect(HttpCall call, Consumer<Channel> handlers, Listener listener) {
        connect(call.address(), handlers, listener);
    }

    void connect(InetSocketAddress address, Consumer<Channel> handlers, Listener listener) {
        meters.count("connections_opened", "endpoint");
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        handlers.accept(channel);
                    }
                })
                .connect(address);
        future.addListener(done -> {
            if (future.isSuccess()) {
                listener.onConnected(future.channel(), true);
            } else {
                listener.onFailed(String.valueOf(future.cause().getMessage()));
            }
        });
    }
}
