package org.fuchsiawharf.relay.client;

import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequestEncoder;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.relay.IoThread;
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
    /** Maximum number of idle connections per address; beyond it, the one that has been idle longest is closed. */
    private static final int MAX_IDLE_PER_ADDRESS = 16;

    private final EventLoop loop;
    private final String requestIdField;
    private final Connector connector;
    private final Map<InetSocketAddress, Deque<ClientConnection>> idleConnections = new HashMap<>();

    /**
     * Creates a client.
     *
     * @param io the I/O thread, not null
     * @param requestIdField the name of the header field that carries the request id, not null
     * @param connector opens the connections, not null
     */
    public HttpClient(IoThread io, String requestIdField, Connector connector) {
        this.loop = io.getLoop();
        this.requestIdField = requestIdField;
        this.connector = connector;
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
        if (call.maxIdleNanos() <= 0 || connections == null || !connector.mayReuse(call)) {
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
        connector.connect(openCall.httpCall, this::addHandlers, new Connector.Listener() {
            @Override
            public void onConnected(Channel channel, boolean reusable) {
                HttpClient.this.onConnected(openCall, channel, reusable);
            }

            @Override
            public void onFailed(String detail) {
                openCall.httpCall.body().release();
                if (openCall.markEnded()) {
                    openCall.getListener().onFailed(CallFailure.NOT_SENT, detail);
                }
            }
        });
    }

    private void addHandlers(Channel channel) {
        ResponseDecoder decoder = new ResponseDecoder();
        ClientConnection connection = new ClientConnection(this, decoder, channel);
        channel.pipeline().addLast(new HttpRequestEncoder(), decoder, connection);
    }

    private void onConnected(OpenCall openCall, Channel channel, boolean reusable) {
        if (openCall.isEnded()) {
            openCall.httpCall.body().release();
            channel.close();
        } else {
            ClientConnection connection = channel.pipeline().get(ClientConnection.class);
            if (!reusable) {
                connection.forbidReuse();
            }
            connection.send(openCall);
        }
    }

    // -----------------------------------------------------------------------

    String getRequestIdField() {
        return requestIdField;
    }

    void onHead(Channel channel, int status, HttpHeaders fields) {
        connector.onHead(channel, status, fields);
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
