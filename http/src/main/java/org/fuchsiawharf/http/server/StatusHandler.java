package org.fuchsiawharf.http.server;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;

/**
 * Serves the status of the instance to operators.
 *
 * <p>Thread-safe.
 */
final class StatusHandler implements HttpHandler {
    private final EventSink sink;
    private final OperatorAuthenticator operators;

    StatusHandler(EventSink sink, OperatorAuthenticator operators) {
        this.sink = sink;
        this.operators = operators;
    }

    @Override
    public void handleRequest(HttpServerExchange exchange) {
        if (operators.authenticate(exchange) == null) {
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
