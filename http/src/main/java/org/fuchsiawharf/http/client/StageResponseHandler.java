package org.fuchsiawharf.http.client;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.StatusCodes;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.port.StageCall;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.WireHeaders;
import org.fuchsiawharf.http.client.EventStreamParser.StreamEvent;
import org.jspecify.annotations.Nullable;

/**
 * Converts the response to a stage call into events.
 *
 * <p>Publishes one completion or failure, after any tokens; later parts of the response are ignored. Confined to its
 * call's I/O thread, except for {@link #isDone}, which is thread-safe.
 */
final class StageResponseHandler implements HttpResponseHandler {
    private static final int MAX_BODY_BYTES = 1 << 20;
    private static final int MAX_DETAIL_CHARS = 200;

    private final StageCall call;
    private final EventSink sink;
    private final Runnable onDone;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventStreamParser stream = new EventStreamParser(this::onStreamEvent);
    private int status;
    private boolean streaming;
    private @Nullable CallFailure statusFailure;
    private volatile boolean done;

    StageResponseHandler(StageCall call, EventSink sink, Runnable onDone) {
        this.call = call;
        this.sink = sink;
        this.onDone = onDone;
    }

    boolean isDone() {
        return done;
    }

    @Override
    public void onHead(int responseStatus, HeaderMap headers) {
        status = responseStatus;
        if (responseStatus == StatusCodes.OK) {
            checkHead(headers);
        } else if (responseStatus == StatusCodes.GONE && call.reconnect()) {
            statusFailure = CallFailure.RUN_GONE;
        } else if ("not_run".equals(headers.getFirst(WireHeaders.OUTCOME))) {
            statusFailure =
                    "true".equals(headers.getFirst(WireHeaders.LEAVING)) ? CallFailure.LEAVING : CallFailure.REFUSED;
        } else {
            statusFailure = CallFailure.ERROR;
        }
    }

    private void checkHead(HeaderMap headers) {
        String attemptId = headers.getFirst(WireHeaders.ATTEMPT);
        String contentType = headers.getFirst(Headers.CONTENT_TYPE);
        streaming = contentType != null && contentType.startsWith(WireHeaders.EVENT_STREAM);
        if (!call.id().toString().equals(attemptId)) {
            fail(CallFailure.GARBAGE, "the answer names attempt " + attemptId);
        } else if (streaming != call.stage().streaming()) {
            fail(CallFailure.GARBAGE, "the answer has content type " + contentType);
        }
    }

    @Override
    public void onData(ByteBuffer data) {
        if (done) {
            return;
        }
        if (streaming) {
            feed(data);
            return;
        }
        if (body.size() + data.remaining() > MAX_BODY_BYTES) {
            fail(CallFailure.GARBAGE, "the answer is larger than " + MAX_BODY_BYTES + " bytes");
            return;
        }
        byte[] part = new byte[data.remaining()];
        data.get(part);
        body.writeBytes(part);
    }

    @Override
    public void onEnd() {
        if (done) {
            return;
        }
        CallFailure failure = statusFailure;
        if (failure != null) {
            fail(failure, "status " + status);
        } else if (streaming) {
            fail(CallFailure.LOST, "the stream ended without its last event");
        } else if (!JsonText.isValid(body.toByteArray())) {
            fail(CallFailure.GARBAGE, "the answer is not JSON");
        } else {
            finish(new Event.CallCompleted(call.id(), Payload.of(body.toByteArray()), 0));
        }
    }

    @Override
    public void onFailure(boolean possiblySent, IOException cause) {
        CallFailure failure = statusFailure;
        if (failure != null) {
            fail(failure, "status " + status);
        } else {
            fail(possiblySent ? CallFailure.LOST : CallFailure.NOT_SENT, String.valueOf(cause.getMessage()));
        }
    }

    // -----------------------------------------------------------------------

    private void feed(ByteBuffer data) {
        try {
            stream.feed(data);
        } catch (IllegalStateException | UncheckedIOException | NumberFormatException e) {
            fail(CallFailure.GARBAGE, String.valueOf(e.getMessage()));
        }
    }

    private void onStreamEvent(StreamEvent event) {
        if (done) {
            return;
        }
        switch (event.type()) {
            case "token" ->
                sink.publish(new Event.TokenReceived(
                        call.id(), Long.parseLong(event.id()), JsonText.read(event.data(), String.class)));
            case "done" -> finish(new Event.CallCompleted(call.id(), Payload.NULL, Long.parseLong(event.data())));
            case "error" -> fail(CallFailure.ERROR, event.data());
            default -> {
                // Newer endpoints may send further types of events, which are not needed here.
            }
        }
    }

    private void fail(CallFailure failure, String detail) {
        String truncated = detail.length() > MAX_DETAIL_CHARS ? detail.substring(0, MAX_DETAIL_CHARS) : detail;
        finish(new Event.CallFailed(call.id(), failure, truncated));
    }

    private void finish(Event event) {
        if (!done) {
            done = true;
            onDone.run();
            sink.publish(event);
        }
    }
}
