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
 * Reads the answer to one request of a load.
 *
 * <p>Reports one result. Confined to its call's I/O thread.
 */
final class CallerExchange implements HttpResponseHandler {
    private final LoadSchedule.Planned planned;
    private final BiConsumer<Result, String> onResult;
    private final Runnable onNotSent;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final StringBuilder text = new StringBuilder();
    private final EventStreamParser stream = new EventStreamParser(this::onEvent);
    private int status;
    private long nextToken;
    private boolean streaming;
    private boolean done;

    CallerExchange(LoadSchedule.Planned planned, BiConsumer<Result, String> onResult, Runnable onNotSent) {
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
            stream.feed(data);
        } else {
            byte[] part = new byte[data.remaining()];
            data.get(part);
            body.writeBytes(part);
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
                end(AnswerCheck.check(planned, json), "");
            } else {
                endRefused(json);
            }
        } catch (UncheckedIOException e) {
            end(Result.REFUSED, "status " + status);
        }
    }

    @Override
    public void onFailure(boolean sent, IOException cause) {
        if (!sent) {
            if (!done) {
                done = true;
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
            case "done" -> end(checkStream(event), "");
            case "error" ->
                endRefused(JsonText.readTree(event.data().getBytes(java.nio.charset.StandardCharsets.UTF_8)));
            default -> {
                // Other kinds of events carry nothing for a caller.
            }
        }
    }

    private void onToken(StreamEvent event) {
        if (Long.parseLong(event.id()) == nextToken) {
            nextToken++;
            text.append(JsonText.read(event.data(), String.class));
        } else {
            end(Result.INCOMPLETE, "token " + event.id() + " in place of " + nextToken);
        }
    }

    private Result checkStream(StreamEvent done) {
        JsonNode json = JsonText.readTree(done.data().getBytes(java.nio.charset.StandardCharsets.UTF_8));
        Result whole = AnswerCheck.check(planned, json);
        if (whole != Result.ANSWERED || nextToken == 0) {
            return whole;
        }
        return AnswerCheck.checkText(planned, text.toString());
    }

    private void endRefused(JsonNode problem) {
        String code = problem.path("code").asText();
        switch (problem.path("outcome").asText()) {
            case "not_run" -> end(Result.NOT_RUN, code);
            case "failed" -> end(Result.FAILED, code);
            case "unknown" -> end(Result.UNKNOWN, code);
            default -> end(Result.REFUSED, code);
        }
    }

    private void end(Result result, String code) {
        if (!done) {
            done = true;
            onResult.accept(result, code);
        }
    }
}
