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
 * Detects that a caller closes its connection before the response is sent.
 *
 * <p>The server does not read from a connection between a request and its response, so it would not detect a close.
 * The detector reads instead, and returns the bytes of a pipelined request to the connection. Confined to the
 * exchange's I/O thread.
 */
final class DisconnectDetector implements ReadReadyHandler {
    private final HttpServerExchange exchange;
    private final Runnable onDisconnect;
    private boolean active;

    private DisconnectDetector(HttpServerExchange exchange, Runnable onDisconnect) {
        this.exchange = exchange;
        this.onDisconnect = onDisconnect;
    }

    /**
     * Starts detection for an exchange whose request has been read completely.
     *
     * @param exchange the exchange, not null
     * @param onDisconnect runs when the caller closes the connection, not null
     * @return the detector, which must be stopped before the response is written; never null
     */
    static DisconnectDetector start(HttpServerExchange exchange, Runnable onDisconnect) {
        DisconnectDetector detector = new DisconnectDetector(exchange, onDisconnect);
        ConnectionCloseHook.set(exchange, detector::notifyDisconnect);
        if (exchange.getConnection() instanceof HttpServerConnection connection) {
            detector.active = true;
            // Deferred, because the request receiver suspends reads after this method returns.
            exchange.getIoThread().execute(() -> detector.resumeReads(connection));
        }
        return detector;
    }

    private void resumeReads(HttpServerConnection connection) {
        if (active) {
            connection.getOriginalSourceConduit().setReadReadyHandler(this);
            connection.getOriginalSourceConduit().resumeReads();
        }
    }

    /** Stops detection and restores the connection's own read handler. */
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
        PooledByteBuffer pooledBuffer = connection.getByteBufferPool().allocate();
        boolean returnedToConnection = false;
        try {
            int bytesRead = connection.getOriginalSourceConduit().read(pooledBuffer.getBuffer());
            if (bytesRead > 0) {
                pooledBuffer.getBuffer().flip();
                returnedToConnection = true;
                stop();
                connection.ungetRequestBytes(pooledBuffer);
            } else if (bytesRead < 0) {
                stop();
                IoUtils.safeClose(connection);
            }
        } catch (IOException e) {
            stop();
            IoUtils.safeClose(connection);
        } finally {
            if (!returnedToConnection) {
                pooledBuffer.close();
            }
        }
    }

    @Override
    public void forceTermination() {
        notifyDisconnect();
    }

    @Override
    public void terminated() {
        notifyDisconnect();
    }

    private void notifyDisconnect() {
        if (!exchange.isResponseComplete()) {
            onDisconnect.run();
        }
    }
}
