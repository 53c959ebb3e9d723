package org.fuchsiawharf.standin;

import java.util.ArrayList;
import java.util.List;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.handlers.sse.ServerSentEventConnection;
import io.undertow.server.handlers.sse.ServerSentEventHandler;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.http.ConnectionCloseHook;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;
import org.xnio.IoUtils;

/**
 * Call sink that sends the outcome over HTTP, altered by the injected faults.
 *
 * <p>Thread-safe: all writes run on the exchange's I/O thread.
 */
final class HttpCallSink implements CallSink {
    private final HttpServerExchange exchange;
    private final StageTask task;
    private final Faults faults;
    private final EndpointModel model;

    // Confined to the I/O thread.
    private final List<StreamEvent> pendingEvents = new ArrayList<>();
    private @Nullable ServerSentEventConnection stream;
    private boolean streamOpening;

    HttpCallSink(HttpServerExchange exchange, StageTask task, Faults faults, EndpointModel model) {
        this.exchange = exchange;
        this.task = task;
        this.faults = faults;
        this.model = model;
    }

    private record StreamEvent(String data, String type, @Nullable String id) {}

    void watchConnection() {
        ConnectionCloseHook.set(exchange, () -> model.onDisconnected(task, this));
    }

    @Override
    public void reject(boolean leaving) {
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            exchange.getResponseHeaders().put(WireHeaders.OUTCOME, "not_run");
            exchange.getResponseHeaders().put(WireHeaders.LEAVING, Boolean.toString(leaving));
            exchange.endExchange();
        });
    }

    @Override
    public void rejectUnknownRun() {
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(StatusCodes.GONE);
            exchange.endExchange();
        });
    }

    @Override
    public void sendToken(long index) {
        exchange.getIoThread().execute(() -> {
            StreamEvent event = new StreamEvent(JsonText.write(task.toToken(index)), "token", Long.toString(index));
            send(event);
            if (faults.getResponseMode() == Faults.ResponseMode.TWICE) {
                send(event);
            }
        });
    }

    @Override
    public void complete(long tokens) {
        exchange.getIoThread().execute(() -> {
            if (faults.getResponseMode() == Faults.ResponseMode.NEVER) {
                return;
            }
            if (faults.getResponseMode() == Faults.ResponseMode.CLOSE) {
                IoUtils.safeClose(exchange.getConnection());
            } else if (tokens > 0) {
                completeStream(tokens);
            } else {
                sendJson();
            }
        });
    }

    private void completeStream(long tokens) {
        StreamEvent doneEvent = new StreamEvent(Long.toString(tokens), "done", null);
        send(doneEvent);
        if (faults.getResponseMode() == Faults.ResponseMode.TWICE) {
            send(doneEvent);
        }
        ServerSentEventConnection connection = stream;
        if (connection != null) {
            connection.shutdown();
        }
    }

    private void sendJson() {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        exchange.getResponseHeaders().put(WireHeaders.ATTEMPT, echoedAttempt());
        String body = faults.getResponseMode() == Faults.ResponseMode.GARBAGE ? "{\"nonce\":" : task.toResponse();
        exchange.getResponseSender().send(body);
    }

    private String echoedAttempt() {
        return faults.getResponseMode() == Faults.ResponseMode.WRONG_ATTEMPT ? task.attempt() + "9" : task.attempt();
    }

    private void send(StreamEvent event) {
        if (faults.getResponseMode() == Faults.ResponseMode.NEVER) {
            return;
        }
        ServerSentEventConnection connection = stream;
        if (connection != null) {
            write(connection, event);
            return;
        }
        pendingEvents.add(event);
        if (!streamOpening) {
            streamOpening = true;
            startStream();
        }
    }

    private void write(ServerSentEventConnection connection, StreamEvent event) {
        String data = faults.getResponseMode() == Faults.ResponseMode.GARBAGE ? "\"unfinished" : event.data();
        connection.send(data, event.type(), event.id(), null);
    }

    private void startStream() {
        exchange.getResponseHeaders().put(WireHeaders.ATTEMPT, echoedAttempt());
        try {
            new ServerSentEventHandler((connection, lastEventId) -> {
                        stream = connection;
                        pendingEvents.forEach(event -> write(connection, event));
                        pendingEvents.clear();
                    })
                    .handleRequest(exchange);
        } catch (Exception e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
