package org.fuchsiawharf.http.server;

import java.io.IOException;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.fuchsiawharf.http.ConnectionCloseHook;
import org.xnio.IoUtils;
import org.xnio.conduits.ConduitStreamSourceChannel;
import org.xnio.conduits.ReadReadyHandler;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Notices that a caller closes its connection while it waits for an answer.
 *
 * <p>The server does not read from a connection between a request and its response, so a close would go unseen.
 * The watch reads instead; bytes of a next request are given back to the connection. Confined to the exchange's
 * I/O thread.
 */
final class CloseWatch implements ReadReadyHandler {
    private final HttpServerExchange exchange;
    private final Runnable onLeft;
    private boolean active;

    private CloseWatch(HttpServerExchange exchange, Runnable onLeft) {
        this.exchange = exchange;
        this.onLeft = onLeft;
    }

    /**
     * Starts to watch an exchange whose request was read whole.
     *
     * @param exchange the exchange, not null
     * @param onLeft runs when the caller closed, not null
     * @return the watch, to be stopped before the response is written; never null
     */
    static CloseWatch start(HttpServerExchange exchange, Runnable onLeft) {
        CloseWatch watch = new CloseWatch(exchange, onLeft);
        ConnectionCloseHook.set(exchange, watch::left);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            watch.active = true;
            // The code that read the request suspends reads once this returns.
            exchange.getIoThread().execute(() -> watch.resume(connection));
        }
        return watch;
    }

    private void resume(HttpServerConnection connection) {
        if (active) {
            connection.getOriginalSourceConduit().setReadReadyHandler(this);
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /** Stops watching. */
    void stop() {
        if (active && exchange.getConnection() instanceof HttpServerConnection connection) {
            active = false;
            StreamSourceConduit conduit = connection.getOriginalSourceConduit();
            conduit.suspendReads();
            ConduitStreamSourceChannel channel = connection.getChannel().getSourceChannel();
            conduit.setReadReadyHandler(new ReadReadyHandler.ChannelListenerHandler<>(channel));
        }
    }

    @Override
    public void readReady() {
        if (!active || !(exchange.getConnection() instanceof HttpServerConnection connection)) {
            return;
        }
        PooledByteBuffer pooled = connection.getByteBufferPool().allocate();
        boolean keeps = false;
        try {
            int count = connection.getOriginalSourceConduit().read(pooled.getBuffer());
            if (count > 0) {
                pooled.getBuffer().flip();
                keeps = true;
                stop();
                connection.ungetRequestBytes(pooled);
            } else if (count < 0) {
                stop();
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            stop();
            IoUtils.safeClose(connection);
        } finally {
            if (!keeps) {
                pooled.close();
            }
        }
    }

    @Override
    public void forceTermination() {
        left();
    }

    @Override
    public void terminated() {
        left();
    }

    private void left() {
        if (!exchange.isResponseComplete()) {
            onLeft.run();
        }
    }
}
