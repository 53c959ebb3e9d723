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
import org.fuchsiawharf.core.config.ConfigService.Loaded;
import org.fuchsiawharf.core.config.ConfirmResult;
import org.fuchsiawharf.core.config.Intent;
import org.fuchsiawharf.core.config.Plan;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;

/**
 * The operators' routes for plans, configuration and audit trail.
 *
 * <p>Each blocks on the key-value service, on a worker thread. Thread-safe.
 */
final class ConfigHandlers {
    private static final int DEFAULT_PAGE = 50;
    private static final int MAX_PAGE = 1_000;

    private final Operators operators;
    private final ConfigService service;

    ConfigHandlers(Operators operators, ConfigService service) {
        this.operators = operators;
        this.service = service;
    }

    /** Answers one operator's request. */
    private interface Action {
        Object answer(HttpServerExchange exchange, String who, byte[] body);
    }

    HttpHandler plan() {
        return blocking((exchange, who, body) -> {
            Intent intent = JsonText.read(new String(body, StandardCharsets.UTF_8), Intent.class);
            return service.plan(intent, who, sourceOf(exchange));
        });
    }

    HttpHandler showPlan() {
        return blocking((exchange, who, body) -> {
            Plan plan = service.readPlan(parameter(exchange, "id"));
            if (plan == null) {
                exchange.setStatusCode(StatusCodes.NOT_FOUND);
                return new Message("plan \"" + parameter(exchange, "id") + "\" can't be found");
            }
            return plan;
        });
    }

    HttpHandler confirm() {
        return blocking((exchange, who, body) -> {
            ConfirmResult result = service.confirm(parameter(exchange, "id"), who, sourceOf(exchange));
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

    HttpHandler showConfig() {
        return blocking((exchange, who, body) -> {
            Loaded loaded = service.load();
            if (loaded == null) {
                throw new WharfException(ErrorCode.STORE_UNAVAILABLE, "the key-value service can't be reached");
            }
            return loaded;
        });
    }

    HttpHandler audit() {
        return blocking((exchange, who, body) -> {
            Deque<String> max = exchange.getQueryParameters().get("max");
            int count = max == null ? DEFAULT_PAGE : Integer.parseInt(max.getFirst());
            List<AuditEntry> entries = service.listAudit(Math.min(MAX_PAGE, count));
            return new Trail(ConfigService.isIntact(entries), entries);
        });
    }

    /** A part of the audit trail. */
    private record Trail(boolean intact, List<AuditEntry> entries) {}

    private record Message(String detail) {}

    // -----------------------------------------------------------------------

    private HttpHandler blocking(Action action) {
        return exchange -> {
            String who = operators.identify(exchange);
            if (who != null) {
                exchange.getRequestReceiver()
                        .receiveFullBytes((read, body) -> read.dispatch(() -> run(read, who, body, action)));
            }
        };
    }

    private static void run(HttpServerExchange exchange, String who, byte[] body, Action action) {
        Object answer;
        try {
            answer = action.answer(exchange, who, body);
        } catch (WharfException e) {
            boolean unavailable = e.getCode() == ErrorCode.STORE_UNAVAILABLE;
            exchange.setStatusCode(unavailable ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.BAD_REQUEST);
            answer = new Message(String.valueOf(e.getMessage()));
        } catch (UncheckedIOException | NumberFormatException e) {
            exchange.setStatusCode(StatusCodes.BAD_REQUEST);
            answer = new Message("the request is malformed: " + e.getMessage());
        }
        byte[] json = JsonText.write(answer).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.JSON);
        exchange.getResponseSender().send(ByteBuffer.wrap(json));
    }

    private static String parameter(HttpServerExchange exchange, String name) {
        Deque<String> values = exchange.getQueryParameters().get(name);
        return values == null ? "" : values.getFirst();
    }

    private static String sourceOf(HttpServerExchange exchange) {
        @Nullable Object address = exchange.getSourceAddress();
        return String.valueOf(address);
    }
}
