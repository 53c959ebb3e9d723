package org.fuchsiawharf.http.server;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;

/**
 * Answers operators who show the bearer token of the instance's settings.
 *
 * <p>Thread-safe.
 */
final class OperatorHandler implements HttpHandler {
    private final EventSink sink;
    private final byte[] expected;

    OperatorHandler(EventSink sink, String token) {
        this.sink = sink;
        this.expected = ("Bearer " + token).getBytes(StandardCharsets.UTF_8);
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        String given = exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION);
        byte[] shown = given == null ? new byte[0] : given.getBytes(StandardCharsets.UTF_8);
        if (!MessageDigest.isEqual(expected, shown)) {
            exchange.setStatusCode(StatusCodes.UNAUTHORIZED);
            exchange.getResponseHeaders().put(Headers.WWW_AUTHENTICATE, "Bearer");
            exchange.endExchange();
            return;
        }
        exchange.dispatch(
                SameThreadExecutor.INSTANCE,
                () -> sink.publish(new Event.StatusRequested(snapshot -> {
                    String json = JsonText.write(snapshot);
                    exchange.getIoThread().execute(() -> {
                        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
                        exchange.getResponseSender().send(json);
                    });
                })));
    }
}
