package org.fuchsiawharf.http.server;

import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Deque;
import java.util.List;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.config.AuditEntry;
import org.fuchsiawharf.core.config.ConfigService;
import org.fuchsiawharf.core.config.ConfigService.LoadedConfig;
import org.fuchsiawharf.core.config.ConfirmResult;
import org.fuchsiawharf.core.config.Intent;
import org.fuchsiawharf.core.config.Plan;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Handlers of the operators' routes for plans, the configuration and the audit trail.
 *
 * <p>Every handler runs on a worker thread, because it blocks on the key-value service. Thread-safe.
 */
final class ConfigHandlers {
    private static final int DEFAULT_PAGE_SIZE = 50;
    private static final int MAX_PAGE_SIZE = 1_000;

    private final OperatorAuthenticator operators;
    private final ConfigService service;

    ConfigHandlers(OperatorAuthenticator operators, ConfigService service) {
        this.operators = operators;
        this.service = service;
    }

    /** Handles one request of an operator. */
    private interface Action {
        Object handle(HttpServerExchange exchange, String operator, byte[] body);
    }

    HttpHandler createPlan() {
        return blocking((exchange, operator, body) -> {
            Intent intent = JsonText.read(new String(body, StandardCharsets.UTF_8), Intent.class);
            return service.plan(intent, operator, sourceOf(exchange));
        });
    }

    HttpHandler getPlan() {
        return blocking((exchange, operator, body) -> {
            Plan plan = service.readPlan(queryParameter(exchange, "id"));
            if (plan == null) {
                exchange.setStatusCode(StatusCodes.NOT_FOUND);
                return new ErrorDetail("plan \"" + queryParameter(exchange, "id") + "\" can't be found");
            }
            return plan;
        });
    }

    HttpHandler confirmPlan() {
        return blocking((exchange, operator, body) -> {
            ConfirmResult result = service.confirm(queryParameter(exchange, "id"), operator, sourceOf(exchange));
            exchange.setStatusCode(
                    switch (result.status()) {
                        case CONFIRMED -> StatusCodes.OK;
                        case CONFLICT -> StatusCodes.CONFLICT;
                        case NO_PLAN -> StatusCodes.NOT_FOUND;
                        case UNAVAILABLE -> StatusCodes.SERVICE_UNAVAILABLE;
                        case UNKNOWN -> StatusCodes.GATEWAY_TIME_OUT;
                    });
            return result;
        });
    }

    HttpHandler getConfig() {
        return blocking((exchange, operator, body) -> {
            LoadedConfig loaded = service.load();
            if (loaded == null) {
                throw new WharfException(ErrorCode.STORE_UNAVAILABLE, "the key-value service can't be reached");
            }
            return loaded;
        });
    }

    HttpHandler listAudit() {
        return blocking((exchange, operator, body) -> {
            Deque<String> maxValues = exchange.getQueryParameters().get("max");
            int pageSize = maxValues == null ? DEFAULT_PAGE_SIZE : Integer.parseInt(maxValues.getFirst());
            List<AuditEntry> entries = service.listAuditEntries(Math.min(MAX_PAGE_SIZE, pageSize));
            return new AuditTrail(ConfigService.isIntact(entries), entries);
        });
    }

    /** The latest entries of the audit trail, and whether their hash chain is intact. */
    private record AuditTrail(boolean intact, List<AuditEntry> entries) {}

    private record ErrorDetail(String detail) {}

    // -----------------------------------------------------------------------

    private HttpHandler blocking(Action action) {
        return exchange -> {
            String operator = operators.authenticate(exchange);
            if (operator != null) {
                exchange.getRequestReceiver()
                        .receiveFullBytes((callbackExchange, body) ->
                                callbackExchange.dispatch(() -> respond(callbackExchange, operator, body, action)));
            }
        };
    }

    private static void respond(HttpServerExchange exchange, String operator, byte[] body, Action action) {
        Object response;
        try {
            response = action.handle(exchange, operator, body);
        } catch (WharfException e) {
            boolean unavailable = e.getCode() == ErrorCode.STORE_UNAVAILABLE;
            exchange.setStatusCode(unavailable ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.BAD_REQUEST);
            response = new ErrorDetail(String.valueOf(e.getMessage()));
        } catch (UncheckedIOException | NumberFormatException e) {
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            response = new ErrorDetail("the request is malformed: " + e.getMessage());
        }
        byte[] json = JsonText.write(response).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        exchange.getResponseSender().send(ByteBuffer.wrap(json));
    }

    private static String queryParameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }

    private static String sourceOf(HttpServerExchange exchange) {
        @Nullable Object address = exchange.getSourceAddress();
        return String.valueOf(address);
    }
}
