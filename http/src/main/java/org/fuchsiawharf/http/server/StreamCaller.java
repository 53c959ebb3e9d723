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
 * Sends an answer as server-sent events: tokens with their offsets as ids, then {@code done} or {@code error}.
 *
 * <p>The stream opens with the first token, so that a refusal before it is a plain problem response. A caller that
 * leaves more than the allowed bytes unread is disconnected. Thread-safe: writes happen on the exchange's I/O
 * thread.
 */
final class StreamCaller implements CallerPort {
    private final HttpServerExchange exchange;
    private final CloseWatch watch;
    private final int maxUnsentBytes;
    private final Runnable onLeft;

    // Touched by the I/O thread only.
    private final List<Frame> beforeOpen = new ArrayList<>();
    private @Nullable ServerSentEventConnection stream;
    private boolean opening;
    private int unsentBytes;

    StreamCaller(HttpServerExchange exchange, CloseWatch watch, int maxUnsentBytes, Runnable onLeft) {
        this.exchange = exchange;
        this.watch = watch;
        this.maxUnsentBytes = maxUnsentBytes;
        this.onLeft = onLeft;
    }

    private record Frame(String data, String type, @Nullable String id, boolean last) {}

    @Override
    public void token(long offset, String text) {
        String data = JsonText.write(text);
        exchange.getIoThread().execute(() -> send(new Frame(data, "token", Long.toString(offset), false)));
    }

    @Override
    public void finish(RequestResult result) {
        exchange.getIoThread().execute(() -> {
            if (result.outcome() == Outcome.ANSWERED) {
                String data = new String(AnswerJson.of(result), StandardCharsets.UTF_8);
                send(new Frame(data, "done", null, true));
            } else if (stream == null && !opening) {
                watch.stop();
                Problem.send(exchange, result);
            } else {
                send(new Frame(Problem.toJson(result), "error", null, true));
            }
        });
    }

    private void send(Frame frame) {
        ServerSentEventConnection opened = stream;
        if (opened != null) {
            write(opened, frame);
            return;
        }
        beforeOpen.add(frame);
        if (!opening) {
            opening = true;
            open();
        }
    }

    private void open() {
        watch.stop();
        ServerSentEventConnectionCallback callback = (connection, lastEventId) -> {
            stream = connection;
            connection.addCloseTask(c -> onLeft.run());
            beforeOpen.forEach(frame -> write(connection, frame));
            beforeOpen.clear();
        };
        try {
            new ServerSentEventHandler(callback).handleRequest(exchange);
        } catch (Exception e) {
            exchange.endExchange();
            onLeft.run();
        }
    }

    private void write(ServerSentEventConnection connection, Frame frame) {
        int size = frame.data().length();
        unsentBytes += size;
        if (unsentBytes > maxUnsentBytes && !frame.last()) {
            close(connection);
            return;
        }
        connection.send(frame.data(), frame.type(), frame.id(), new Sent(size));
        if (frame.last()) {
            connection.shutdown();
        }
    }

    private static void close(ServerSentEventConnection connection) {
        try {
            connection.close();
        } catch (IOException e) {
            // The connection is gone either way, and its close task reports it.
            return;
        }
    }

    /** Counts a frame as sent. */
    private final class Sent implements ServerSentEventConnection.EventCallback {
        private final int size;

        private Sent(int size) {
            this.size = size;
        }

        @Override
        public void done(ServerSentEventConnection connection, String data, String event, String id) {
            exchange.getIoThread().execute(() -> unsentBytes -= size);
        }

        @Override
        public void failed(ServerSentEventConnection connection, String data, String event, String id, IOException e) {
            onLeft.run();
        }
    }
}
