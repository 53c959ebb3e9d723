package org.fuchsiawharf.http.server;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.port.RequestResult;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;

/**
 * Writes the results of requests without a response of the last stage as RFC 9457 problem details.
 *
 * <p>Stateless and thread-safe; a response is written on the I/O thread of its exchange.
 */
final class Problem {
    private static final long MILLIS_PER_SECOND = 1_000;

    private Problem() {}

    /** The members of a problem in the order in which they are written. */
    private record Details(
            String type, String title, int status, String detail, String code, String outcome, String requestId) {}

    /**
     * Rejects a request that was not passed to the decision loop, so that no stage can have run.
     *
     * @param exchange the exchange, not null
     * @param code the error code, not null
     * @param detail the description of the error, not null
     */
    static void sendNotRun(HttpServerExchange exchange, ErrorCode code, String detail) {
        send(exchange, RequestResult.withoutResponse("", Outcome.NOT_RUN, code, detail, 0));
    }

    /**
     * Sends a result without a response of the last stage, unless a response has been started.
     *
     * @param exchange the exchange, not null
     * @param result the result, not null
     */
    static void send(HttpServerExchange exchange, RequestResult result) {
        if (exchange.isResponseStarted()) {
            return;
        }
        int status = statusOf(codeOf(result), result.outcome());
        exchange.setStatusCode(status);
        exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, WireHeaders.PROBLEM_JSON);
        exchange.getResponseHeaders().put(WireHeaders.OUTCOME, result.outcome().getWireName());
        if (result.retryAfterMillis() > 0) {
            long seconds = (result.retryAfterMillis() + MILLIS_PER_SECOND - 1) / MILLIS_PER_SECOND;
            exchange.getResponseHeaders().put(Headers.RETRY_AFTER, seconds);
        }
        byte[] body = toJson(result).getBytes(StandardCharsets.UTF_8);
        exchange.getResponseSender().send(ByteBuffer.wrap(body));
    }

    /**
     * Writes a result without a response of the last stage as JSON.
     *
     * @param result the result, not null
     * @return the problem details, never null
     */
    static String toJson(RequestResult result) {
        ErrorCode code = codeOf(result);
        return JsonText.write(new Details(
                "https://fuchsiawharf.org/problems/" + code.getWireName().replace('_', '-'),
                code.getWireName().replace('_', ' '),
                statusOf(code, result.outcome()),
                result.detail(),
                code.getWireName(),
                result.outcome().getWireName(),
                result.requestId()));
    }

    private static ErrorCode codeOf(RequestResult result) {
        ErrorCode code = result.code();
        return code == null ? ErrorCode.INTERNAL : code;
    }

    private static int statusOf(ErrorCode code, Outcome outcome) {
        return switch (code) {
            case UNKNOWN_PIPELINE, UNKNOWN_SERVICE -> StatusCodes.NOT_FOUND;
            case UNKNOWN_WORKSPACE -> StatusCodes.FORBIDDEN;
            case INVALID_ARGUMENT, MALFORMED_BODY, INVALID_DEADLINE, IDEMPOTENCY_KEY_MISSING -> StatusCodes.BAD_REQUEST;
            case BODY_TOO_LARGE -> StatusCodes.REQUEST_ENTITY_TOO_LARGE;
            case IDEMPOTENCY_KEY_REUSED -> StatusCodes.UNPROCESSABLE_ENTITY;
            case WORKSPACE_LIMIT -> StatusCodes.TOO_MANY_REQUESTS;
            case DEADLINE_PASSED, DEADLINE_EXCEEDED -> StatusCodes.GATEWAY_TIME_OUT;
            case STAGE_FAILED -> outcome == Outcome.NOT_RUN ? StatusCodes.SERVICE_UNAVAILABLE : StatusCodes.BAD_GATEWAY;
            case INTERNAL, SETTINGS_INVALID -> StatusCodes.INTERNAL_SERVER_ERROR;
            default -> StatusCodes.SERVICE_UNAVAILABLE;
        };
    }
}
