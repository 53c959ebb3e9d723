package org.fuchsiawharf.daemon.load;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.function.BiConsumer;

import com.fasterxml.jackson.databind.JsonNode;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.daemon.load.CallerRecord.Result;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.EventStreamParser;
import org.fuchsiawharf.http.client.EventStreamParser.StreamEvent;
import org.fuchsiawharf.http.client.HttpResponseHandler;

/**
 * Reads the response to one request of a load and classifies it.
 *
 * <p>Reports exactly one result, or that the request was not sent. Confined to the I/O thread of its call.
 */
final class CallerResponseReader implements HttpResponseHandler {
    private final LoadSchedule.Planned planned;
    private final BiConsumer<Result, String> onResult;
    private final Runnable onNotSent;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private final EventStreamParser eventParser = new EventStreamParser(this::onEvent);
    private int status;
    private long expectedToken;
    private boolean streaming;
    private boolean ended;

    CallerResponseReader(LoadSchedule.Planned planned, BiConsumer<Result, String> onResult, Runnable onNotSent) {
        this.planned = planned;
        this.onResult = onResult;
        this.onNotSent = onNotSent;
    }

    @Override
    public void onHead(int code, HeaderMap headers) {
        status = code;
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        streaming = type != null && type.startsWith(WireHeaders.EVENT_STREAM);
    }

    @Override
    public void onData(ByteBuffer data) {
        if (streaming) {
            eventParser.feed(data);
        } else {
            byte[] bytes = new byte[data.remaining()];
            data.get(bytes);
            body.writeBytes(bytes);
        }
    }

    @Override
    public void onEnd() {
        if (streaming) {
            end(Result.CUT, "");
            return;
        }
        try {
            JsonNode json = JsonText.readTree(body.toByteArray());
            if (status == StatusCodes.OK) {
                end(ResponseValidator.validate(planned, json), "");
            } else {
                endWithProblem(json);
            }
        } catch (UncheckedIOException e) {
            end(Result.REFUSED, "status " + status);
        }
    }

    @Override
    public void onFailure(boolean possiblySent, IOException cause) {
        if (!possiblySent) {
            if (!ended) {
                ended = true;
                onNotSent.run();
            }
        } else {
            end(streaming ? Result.CUT : Result.LOST, String.valueOf(cause.getMessage()));
        }
    }

    // -----------------------------------------------------------------------

    private void onEvent(StreamEvent event) {
        switch (event.type()) {
            case "token" -> onToken(event);
            case "done" -> end(validateStream(event), "");
            case "error" ->
                endWithProblem(JsonText.readTree(event.data().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
            default -> {
                // Events of other types have no data for the caller.
            }
        }
    }

    private void onToken(StreamEvent event) {
        if (Long.parseLong(event.id()) == expectedToken) {
            expectedToken++;
            text.append(JsonText.read(event.data(), String.class));
        } else {
            end(Result.INCOMPLETE, "token " + event.id() + " in place of " + expectedToken);
        }
    }

    private Result validateStream(StreamEvent doneEvent) {
        JsonNode json = JsonText.readTree(doneEvent.data().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        Result result = ResponseValidator.validate(planned, json);
        if (result != Result.ANSWERED || expectedToken == 0) {
            return result;
        }
        return ResponseValidator.validateText(planned, text.toString());
    }

    private void endWithProblem(JsonNode problem) {
        String code = problem.path("code").asText();
        switch (problem.path("outcome").asText()) {
            case "not_run" -> end(Result.NOT_RUN, code);
            case "failed" -> end(Result.FAILED, code);
            case "unknown" -> end(Result.UNKNOWN, code);
            default -> end(Result.REFUSED, code);
        }
    }

    private void end(Result result, String code) {
        if (!ended) {
            ended = true;
            onResult.accept(result, code);
        }
    }
}
