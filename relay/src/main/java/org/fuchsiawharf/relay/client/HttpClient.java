package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.SocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Calls endpoints and other outside systems over HTTP/1.1.
 *
 * <p>A call that fails before its connection stood is told as not sent; any later failure as lost. No call is ever
 * repeated here. Connections are kept for the next call to the same address, the one used last first. Calls may be
 * started from any thread; everything else is confined to the I/O thread.
 */
public final class HttpClient {
    /** How long opening a connection may take; some round trips, and less than the resending of a lost packet. */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Connections kept for one address; more are closed after use. */
    private static final int MAX_KEPT = 16;

    private final EventLoop loop;
    private final String idField;
    private final Meters meters;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<EndpointConnection>> kept = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param io the I/O thread, not null
     * @param idField the header field that carries a request's id, not null
     * @param meters takes counts, not null
     */
    public HttpClient(IoThread io, String idField, Meters meters) {
        this.loop = io.getLoop();
        this.idField = idField;
        this.meters = meters;
        this.bootstrap = new Bootstrap().group(io.getGroup()).channel(NioSocketChannel.class);
        SocketOptions.apply(bootstrap, CONNECT_TIMEOUT_MILLIS);
    }

    /**
     * Starts a call.
     *
     * @param call what to send, not null
     * @param listener hears the response, not null
     * @return the call, never null
     */
    public OpenCall send(HttpCall call, ResponseListener listener) {
        OpenCall open = new OpenCall(call, listener);
        if (loop.inEventLoop()) {
            begin(open);
        } else {
            loop.execute(() -> begin(open));
        }
        return open;
    }

    private void begin(OpenCall open) {
        if (open.isEnded()) {
            open.call.body().release();
            return;
        }
        EndpointConnection connection = takeKept(open.call);
        if (connection != null) {
            connection.send(open);
        } else {
            connect(open);
        }
    }

    private @Nullable EndpointConnection takeKept(HttpCall call) {
        Deque<EndpointConnection> connections = kept.get(call.address());
        while (call.maxIdleNanos() > 0 && connections != null && !connections.isEmpty()) {
            EndpointConnection connection = connections.removeLast();
            if (connection.isReusable(call.maxIdleNanos())) {
                return connection;
            }
            connection.close();
        }
        return null;
    }

    private void connect(OpenCall open) {
        meters.count("connections_opened", "endpoint");
        ResponseDecoder decoder = new ResponseDecoder();
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        EndpointConnection connection = new EndpointConnection(HttpClient.this, decoder, channel);
                        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                })
                .connect(open.call.address());
        future.addListener(done -> onConnected(open, future));
    }

    private void onConnected(OpenCall open, ChannelFuture future) {
        if (!future.isSuccess()) {
            open.call.body().release();
            if (open.end()) {
                open.listener()
                        .onFailed(
                                CallFailure.NOT_SENT,
                                String.valueOf(future.cause().getMessage()));
            }
        } else if (open.isEnded()) {
            open.call.body().release();
            future.channel().close();
        } else {
            future.channel().pipeline().get(EndpointConnection.class).send(open);
        }
    }

    // -----------------------------------------------------------------------

    String getIdField() {
        return idField;
    }

    void keep(EndpointConnection connection) {
        InetSocketAddress address = (InetSocketAddress) connection.getChannel().remoteAddress();
        Deque<EndpointConnection> connections = kept.computeIfAbsent(address, a -> new ArrayDeque<>());
        if (connections.size() >= MAX_KEPT) {
            connections.removeFirst().close();
        }
        connections.addLast(connection);
    }

    void forget(EndpointConnection connection) {
        kept.values().removeIf(connections -> {
            connections.remove(connection);
            return connections.isEmpty();
        });
    }
}
