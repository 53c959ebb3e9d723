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
 * Turns an endpoint's response into events.
 *
 * <p>Publishes one completion or failure, after any tokens. Whatever the endpoint sends after that is dropped.
 * Confined to its call's I/O thread, but for {@link #isDone}.
 */
final class StageAnswerHandler implements HttpHandlerCallbacks {
    private static final int MAX_ANSWER_BYTES = 1 << 20;
    private static final int MAX_DETAIL_CHARS = 200;

    private final StageCall call;
    private final EventSink sink;
    private final Runnable onDone;
    private final ByteArrayOutputStream body = new ByteArrayOutputStream();
    private final EventStreamParser stream = new EventStreamParser(this::onStreamEvent);
    private int status;
    private boolean streaming;
    private @Nullable CallFailure refusal;
    private volatile boolean done;

    StageAnswerHandler(StageCall call, EventSink sink, Runnable onDone) {
        this.call = call;
        this.sink = sink;
        this.onDone = onDone;
    }

    boolean isDone() {
        return done;
    }

    @Override
    public void onHead(int code, HeaderMap headers) {
        status = code;
        if (code == StatusCodes.OK) {
            checkHead(headers);
        } else if (code == StatusCodes.GONE && call.reconnect()) {
            refusal = CallFailure.RUN_GONE;
        } else if ("not_run".equals(headers.getFirst(WireHeaders.OUTCOME))) {
            refusal = "true".equals(headers.getFirst(WireHeaders.LEAVING)) ? CallFailure.LEAVING : CallFailure.REFUSED;
        } else {
            refusal = CallFailure.ERROR;
        }
    }

    private void checkHead(HeaderMap headers) {
        String attempt = headers.getFirst(WireHeaders.ATTEMPT);
        String type = headers.getFirst(Headers.CONTENT_TYPE);
        streaming = type != null && type.startsWith(WireHeaders.EVENT_STREAM);
        if (!call.id().toString().equals(attempt)) {
            fail(CallFailure.GARBAGE, "the answer names attempt " + attempt);
        } else if (streaming != call.stage().streaming()) {
            fail(CallFailure.GARBAGE, "the answer has content type " + type);
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
        if (body.size() + data.remaining() > MAX_ANSWER_BYTES) {
            fail(CallFailure.GARBAGE, "the answer is larger than " + MAX_ANSWER_BYTES + " bytes");
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
        CallFailure refused = refusal;
        if (refused != null) {
            fail(refused, "status " + status);
        } else if (streaming) {
            fail(CallFailure.LOST, "the stream ended without its last event");
        } else if (!JsonText.isValid(body.toByteArray())) {
            fail(CallFailure.GARBAGE, "the answer is not JSON");
        } else {
            finish(new Event.CallCompleted(call.id(), Payload.of(body.toByteArray()), 0));
        }
    }

    @Override
    public void onFailure(boolean sent, IOException cause) {
        CallFailure refused = refusal;
        if (refused != null) {
            fail(refused, "status " + status);
        } else {
            fail(sent ? CallFailure.LOST : CallFailure.NOT_SENT, String.valueOf(cause.getMessage()));
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
                // Kinds of events that a newer endpoint may send carry nothing needed here.
            }
        }
    }

    private void fail(CallFailure failure, String detail) {
        String bounded = detail.length() > MAX_DETAIL_CHARS ? detail.substring(0, MAX_DETAIL_CHARS) : detail;
        finish(new Event.CallFailed(call.id(), failure, bounded));
    }

    private void finish(Event event) {
        if (!done) {
            done = true;
            onDone.run();
            sink.publish(event);
        }
    }
}
