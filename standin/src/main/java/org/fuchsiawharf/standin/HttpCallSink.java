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
 * Sends a call's outcome over HTTP, or spoils it as the faults say.
 *
 * <p>Thread-safe: all writing happens on the exchange's I/O thread.
 */
final class HttpCallSink implements CallSink {
    private final HttpServerExchange exchange;
    private final StageTask task;
    private final Faults faults;
    private final EndpointModel model;

    // Touched by the I/O thread only.
    private final List<Frame> beforeOpen = new ArrayList<>();
    private @Nullable ServerSentEventConnection stream;
    private boolean opening;

    HttpCallSink(HttpServerExchange exchange, StageTask task, Faults faults, EndpointModel model) {
        this.exchange = exchange;
        this.task = task;
        this.faults = faults;
        this.model = model;
    }

    private record Frame(String data, String type, @Nullable String id) {}

    void watch() {
        ConnectionCloseHook.set(exchange, () -> model.disconnected(task, this));
    }

    @Override
    public void refuse(boolean leaving) {
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(StatusCodes.SERVICE_UNAVAILABLE);
            exchange.getResponseHeaders().put(WireHeaders.OUTCOME, "not_run");
            exchange.getResponseHeaders().put(WireHeaders.LEAVING, Boolean.toString(leaving));
            exchange.endExchange();
        });
    }

    @Override
    public void gone() {
        exchange.getIoThread().execute(() -> {
            exchange.setStatusCode(StatusCodes.GONE);
            exchange.endExchange();
        });
    }

    @Override
    public void token(long index) {
        exchange.getIoThread().execute(() -> {
            Frame frame = new Frame(JsonText.write(task.toToken(index)), "token", Long.toString(index));
            send(frame);
            if (faults.getAnswer() == Faults.Answer.TWICE) {
                send(frame);
            }
        });
    }

    @Override
    public void finish(long tokens) {
        exchange.getIoThread().execute(() -> {
            if (faults.getAnswer() == Faults.Answer.NEVER) {
                return;
            }
            if (faults.getAnswer() == Faults.Answer.CLOSE) {
                IoUtils.safeClose(exchange.getConnection());
            } else if (tokens > 0) {
                finishStream(tokens);
            } else {
                finishJson();
            }
        });
    }

    private void finishStream(long tokens) {
        Frame done = new Frame(Long.toString(tokens), "done", null);
        send(done);
        if (faults.getAnswer() == Faults.Answer.TWICE) {
            send(done);
        }
        ServerSentEventConnection opened = stream;
        if (opened != null) {
            opened.shutdown();
        }
    }

    private void finishJson() {
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        exchange.getResponseHeaders().put(WireHeaders.ATTEMPT, echoedAttempt());
        String answer = faults.getAnswer() == Faults.Answer.GARBAGE ? "{\"nonce\":" : task.toAnswer();
        exchange.getResponseSender().send(answer);
    }

    private String echoedAttempt() {
        return faults.getAnswer() == Faults.Answer.WRONG_ATTEMPT ? task.attempt() + "9" : task.attempt();
    }

    private void send(Frame frame) {
        if (faults.getAnswer() == Faults.Answer.NEVER) {
            return;
        }
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

    private void write(ServerSentEventConnection opened, Frame frame) {
        String data = faults.getAnswer() == Faults.Answer.GARBAGE ? "\"unfinished" : frame.data();
        opened.send(data, frame.type(), frame.id(), null);
    }

    private void open() {
        exchange.getResponseHeaders().put(WireHeaders.ATTEMPT, echoedAttempt());
        try {
            new ServerSentEventHandler((connection, lastEventId) -> {
                        stream = connection;
                        beforeOpen.forEach(frame -> write(connection, frame));
                        beforeOpen.clear();
                    })
                    .handleRequest(exchange);
        } catch (Exception e) {
            IoUtils.safeClose(exchange.getConnection());
        }
    }
}
