package org.fuchsiawharf.http.server;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventConnectionCallback;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.RequestResult;
import org.fuchsiawharf.http.JsonText;
import org.jspecify.annotations.Nullable;

/**
 * Sends the result of a request as server-sent events: tokens with their offsets as ids, then {@code done} or
 * {@code error}.
 *
 * <p>The stream is opened with the first token or {@code done}, so that an earlier error is sent as a plain problem
 * response. A caller is disconnected if more than the allowed number of bytes is unsent. Thread-safe: events are
 * written on the exchange's I/O thread.
 */
final class EventStreamCallerPort implements CallerPort {
    private final HttpServerExchange exchange;
    private final DisconnectDetector disconnectDetector;
    private final int maxUnsentBytes;
    private final Runnable onDisconnect;

    // Accessed on the I/O thread only.
    private final List<OutgoingEvent> pendingEvents = new ArrayList<>();
    private @Nullable ServerSentEventConnection stream;
    private boolean opening;
    private int unsentBytes;

    EventStreamCallerPort(
            HttpServerExchange exchange,
            DisconnectDetector disconnectDetector,
            int maxUnsentBytes,
            Runnable onDisconnect) {
        this.exchange = exchange;
        this.disconnectDetector = disconnectDetector;
        this.maxUnsentBytes = maxUnsentBytes;
        this.onDisconnect = onDisconnect;
    }

    private record OutgoingEvent(String data, String type, @Nullable String id, boolean last) {}

    @Override
    public void sendToken(long offset, String text) {
        String data = JsonText.write(text);
        exchange.getIoThread().execute(() -> send(new OutgoingEvent(data, "token", Long.toString(offset), false)));
    }

    @Override
    public void finish(RequestResult result) {
        exchange.getIoThread().execute(() -> {
            if (result.outcome() == Outcome.ANSWERED) {
                String data = new String(ResponseJson.of(result), StandardCharsets.UTF_8);
                send(new OutgoingEvent(data, "done", null, true));
            } else if (stream == null && !opening) {
                disconnectDetector.stop();
                Problem.send(exchange, result);
            } else {
                send(new OutgoingEvent(Problem.toJson(result), "error", null, true));
            }
        });
    }

    private void send(OutgoingEvent event) {
        ServerSentEventConnection openStream = stream;
        if (openStream != null) {
            write(openStream, event);
            return;
        }
        pendingEvents.add(event);
        if (!opening) {
            opening = true;
            open();
        }
    }

    private void open() {
        disconnectDetector.stop();
        ServerSentEventConnectionCallback callback = (connection, lastEventId) -> {
            stream = connection;
            connection.addCloseTask(c -> onDisconnect.run());
            pendingEvents.forEach(event -> write(connection, event));
            pendingEvents.clear();
        };
        try {
            new ServerSentEventHandler(callback).handleRequest(exchange);
        } catch (Exception e) {
            exchange.endExchange();
            onDisconnect.run();
        }
    }

    private void write(ServerSentEventConnection connection, OutgoingEvent event) {
        int size = event.data().length();
        unsentBytes += size;
        if (unsentBytes > maxUnsentBytes && !event.last()) {
            close(connection);
            return;
        }
        connection.send(event.data(), event.type(), event.id(), new SentCallback(size));
        if (event.last()) {
            connection.shutdown();
        }
    }

    private static void close(ServerSentEventConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // The connection is closed in any case, and its close task reports the disconnect.
            return;
        }
    }

    /** Subtracts an event from the unsent bytes when it has been sent. */
    private final class SentCallback implements ServerSentEventConnection.EventCallback {
        private final int size;

        private SentCallback(int size) {
            this.size = size;
        }

        @Override
        public void done(ServerSentEventConnection connection, String data, String event, String id) {
            exchange.getIoThread().execute(() -> unsentBytes -= size);
        }

        @Override
        public void failed(ServerSentEventConnection connection, String data, String event, String id, IOException e) {
            onDisconnect.run();
        }
    }
}
