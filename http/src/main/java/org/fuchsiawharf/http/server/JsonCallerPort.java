package org.fuchsiawharf.http.server;

import java.nio.ByteBuffer;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.RequestResult;
import org.fuchsiawharf.http.WireHeaders;

/**
 * Sends the result of a request as one JSON response.
 *
 * <p>Thread-safe: the response is written on the exchange's I/O thread.
 */
final class JsonCallerPort implements CallerPort {
    private final HttpServerExchange exchange;
    private final DisconnectDetector disconnectDetector;

    JsonCallerPort(HttpServerExchange exchange, DisconnectDetector disconnectDetector) {
        this.exchange = exchange;
        this.disconnectDetector = disconnectDetector;
    }

    @Override
    public void sendToken(long offset, String text) {}

    @Override
    public void finish(RequestResult result) {
        exchange.getIoThread().execute(() -> send(result));
    }

    private void send(RequestResult result) {
        disconnectDetector.stop();
        if (result.outcome() != Outcome.ANSWERED) {
            Problem.send(exchange, result);
            return;
        }
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        exchange.getResponseHeaders().put(WireHeaders.REQUEST_ID, result.requestId());
        exchange.getResponseSender().send(ByteBuffer.wrap(ResponseJson.of(result)));
    }
}
