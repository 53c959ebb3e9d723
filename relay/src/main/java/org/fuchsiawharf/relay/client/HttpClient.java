package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.relay.IoThread;
import org.fuchsiawharf.relay.SocketOptions;
import org.jspecify.annotations.Nullable;

/**
 * Sends HTTP/1.1 calls to endpoints and other external systems.
 *
 * <p>A call fails as {@link CallFailure#NOT_SENT} if its connection cannot be established, and as
 * {@link CallFailure#LOST} if the connection breaks later. The client never retries a call. Idle connections are
 * pooled per address and reused in last-in, first-out order. Calls may be started from any thread; everything else is
 * confined to the I/O thread.
 */
public final class HttpClient {
    /** Several round trips, but less than the initial retransmission timeout of a SYN (1 s). */
    private static final int CONNECT_TIMEOUT_MILLIS = 400;
    /** Maximum number of idle connections per address; beyond it, the one that has been idle longest is closed. */
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final String requestIdField;
    private final Meters meters;
    private final Bootstrap bootstrap;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param io the I/O thread, not null
     * @param requestIdField the name of the header field that carries the request id, not null
     * @param meters records metrics, not null
     */
    public HttpClient(IoThread io, String requestIdField, Meters meters) {
        this.loop = io.getLoop();
        this.requestIdField = requestIdField;
        this.meters = meters;
        this.bootstrap = new Bootstrap().group(io.getGroup()).channel(NioSocketChannel.class);
        SocketOptions.apply(bootstrap, CONNECT_TIMEOUT_MILLIS);
        // The end of the server's side is then reported as an event, apart from failures of the connection.
        bootstrap.option(ChannelOption.ALLOW_HALF_CLOSURE, true);
    }

    /**
     * Starts a call.
     *
     * @param call the call to send, not null
     * @param listener receives the response, not null
     * @return the call in flight, never null
     */
    public OpenCall send(HttpCall call, ResponseListener listener) {
        OpenCall openCall = new OpenCall(call, listener);
        if (loop.inEventLoop()) {
            start(openCall);
        } else {
            loop.execute(() -> start(openCall));
        }
        return openCall;
    }

    private void start(OpenCall openCall) {
        if (openCall.isEnded()) {
            openCall.httpCall.body().release();
            return;
        }
        ClientConnection connection = takeIdle(openCall.httpCall);
        if (connection != null) {
            connection.send(openCall);
        } else {
            connect(openCall);
        }
    }

    private @Nullable ClientConnection takeIdle(HttpCall call) {
        Deque<ClientConnection> connections = idleConnections.get(call.address());
        if (call.maxIdleNanos() <= 0 || connections == null) {
            return null;
        }
        Iterator<ClientConnection> latestFirst = connections.descendingIterator();
        while (latestFirst.hasNext()) {
            ClientConnection connection = latestFirst.next();
            if (!connection.isReusable(call.maxIdleNanos())) {
                latestFirst.remove();
                connection.close();
            } else if (!connection.hasRefused(call.expectedId())) {
                latestFirst.remove();
                return connection;
            }
        }
        return null;
    }

    private void connect(OpenCall openCall) {
        meters.count("connections_opened", "endpoint");
        ResponseDecoder decoder = new ResponseDecoder();
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        ClientConnection connection = new ClientConnection(HttpClient.this, decoder, channel);
                        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
                    }
                })
                .connect(openCall.httpCall.address());
        future.addListener(done -> onConnected(openCall, future));
    }

    private void onConnected(OpenCall openCall, ChannelFuture future) {
        if (!future.isSuccess()) {
            openCall.httpCall.body().release();
            if (openCall.markEnded()) {
                openCall.getListener()
                        .onFailed(
                                CallFailure.NOT_SENT,
                                String.valueOf(future.cause().getMessage()));
            }
        } else if (openCall.isEnded()) {
            openCall.httpCall.body().release();
            future.channel().close();
        } else {
            future.channel().pipeline().get(ClientConnection.class).send(openCall);
        }
    }

    // -----------------------------------------------------------------------

    String getRequestIdField() {
        return requestIdField;
    }

    void addIdle(ClientConnection connection) {
        InetSocketAddress address = (InetSocketAddress) connection.getChannel().remoteAddress();
        Deque<ClientConnection> connections = idleConnections.computeIfAbsent(address, a -> new ArrayDeque<>());
        connections.addLast(connection);
        int limit = Math.min(MAX_IDLE_PER_ADDRESS, connection.getMaxIdleConnections());
        while (connections.size() > limit) {
            connections.removeFirst().close();
        }
    }

    void removeIdle(ClientConnection connection) {
        idleConnections.values().removeIf(connections -> {
            connections.remove(connection);
            return connections.isEmpty();
        });
    }
}
