package org.fuchsiawharf.http.server;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.RequestResult;
import org.fuchsiawharf.http.WireHeaders;

/**
 * Sends a whole answer as one JSON body.
 *
 * <p>Thread-safe: writes happen on the exchange's I/O thread.
 */
final class JsonCaller implements CallerPort {
    private final HttpServerExchange exchange;
    private final CloseWatch watch;

    JsonCaller(HttpServerExchange exchange, CloseWatch watch) {
        this.exchange = exchange;
        this.watch = watch;
    }

    @Override
    public void token(long offset, String text) {}

    @Override
    public void finish(RequestResult result) {
        exchange.getIoThread().execute(() -> send(result));
    }

    private void send(RequestResult result) {
        watch.stop();
        if (result.outcome() != Outcome.ANSWERED) {
            Problem.send(exchange, result);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        exchange.getResponseHeaders().put(WireHeaders.REQUEST_ID, result.requestId());
        exchange.getResponseSender().send(ByteBuffer.wrap(AnswerJson.of(result)));
    }
}
