package org.fuchsiawharf.http.server;

import java.nio.charset.StandardCharsets;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.apache.commons.codec.digest.MurmurHash3;
import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.Workspace;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.jspecify.annotations.Nullable;

/**
 * Reads and validates a caller's request.
 *
 * <p>Immutable and thread-safe.
 */
final class RequestReader {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 200;

    private final Clock clock;
    private final ServerLimits limits;

    RequestReader(Clock clock, ServerLimits limits) {
        this.clock = clock;
        this.limits = limits;
    }

    /**
     * Reads a request from its header fields and body.
     *
     * @param exchange the exchange, not null
     * @param config the configuration in force, not null
     * @param pipeline the pipeline named by the path, not null
     * @param arrivalNanos the time at which the header of the request arrived, in nanoseconds
     * @param body the body, not null
     * @return the request, never null
     * @throws WharfException if a header field or the body is missing or malformed
     */
    CallerRequest read(
            HttpServerExchange exchange, ServingConfig config, Pipeline pipeline, long arrivalNanos, byte[] body) {
        HeaderMap headers = exchange.getRequestHeaders();
        Workspace workspace = readWorkspace(config, headers.getFirst(WireHeaders.WORKSPACE));
        long deadline = arrivalNanos + readDeadlineMillis(headers.getFirst(WireHeaders.DEADLINE_MS)) * NANOS_PER_MILLI;
        String priority = headers.getFirst(WireHeaders.PRIORITY);
        String idempotencyKey = readIdempotencyKey(pipeline, headers.getFirst(WireHeaders.IDEMPOTENCY_KEY));
        if (!JsonText.isValid(body)) {
            throw new WharfException(ErrorCode.MALFORMED_BODY, "the body is not one JSON value");
        }
        return new CallerRequest(
                pipeline,
                workspace,
                priority == null ? workspace.priority() : Priority.parse(priority),
                idempotencyKey,
                readPrefixKey(pipeline, workspace, headers.getFirst(WireHeaders.DIALOGUE)),
                deadline,
                Payload.of(body));
    }

    /**
     * Gets the current time of the clock.
     *
     * @return the time in nanoseconds
     */
    long nanoTime() {
        return clock.nanos();
    }

    private static Workspace readWorkspace(ServingConfig config, @Nullable String name) {
        if (name == null) {
            throw new WharfException(ErrorCode.UNKNOWN_WORKSPACE, "header Workspace is missing");
        }
        Workspace workspace = config.getWorkspace(name);
        if (workspace == null) {
            throw new WharfException(ErrorCode.UNKNOWN_WORKSPACE, "workspace \"" + name + "\" does not exist");
        }
        return workspace;
    }

    private long readDeadlineMillis(@Nullable String text) {
        if (text == null) {
            throw new WharfException(ErrorCode.INVALID_DEADLINE, "header Deadline-Ms is missing");
        }
        long millis;
        try {
            millis = Long.parseLong(text.trim());
        } catch (NumberFormatException e) {
            throw new WharfException(ErrorCode.INVALID_DEADLINE, "Deadline-Ms \"" + text + "\" is not a whole number");
        }
        if (millis <= 0) {
            throw new WharfException(ErrorCode.DEADLINE_PASSED, "Deadline-Ms " + millis + " has passed already");
        }
        if (millis > limits.maxDeadlineMillis()) {
            throw new WharfException(
                    ErrorCode.INVALID_DEADLINE, "Deadline-Ms " + millis + " is above " + limits.maxDeadlineMillis());
        }
        return millis;
    }

    private static String readIdempotencyKey(Pipeline pipeline, @Nullable String idempotencyKey) {
        if (idempotencyKey == null || idempotencyKey.isBlank()) {
            if (!pipeline.isIdempotent()) {
                throw new WharfException(
                        ErrorCode.IDEMPOTENCY_KEY_MISSING,
                        "pipeline \"" + pipeline.name() + "\" is not idempotent and needs an Idempotency-Key");
            }
            return "";
        }
        if (idempotencyKey.length() > MAX_IDEMPOTENCY_KEY_CHARS) {
            throw new ArgumentException(
                    "Idempotency-Key", idempotencyKey.substring(0, 20) + "…", "1 to 200 characters");
        }
        return idempotencyKey;
    }

    private static long readPrefixKey(Pipeline pipeline, Workspace workspace, @Nullable String dialogue) {
        String prefix = dialogue == null
                ? pipeline.name() + "/" + workspace.name()
                : pipeline.name() + "/" + workspace.name() + "/" + dialogue;
        byte[] bytes = prefix.getBytes(StandardCharsets.UTF_8);
        return MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
