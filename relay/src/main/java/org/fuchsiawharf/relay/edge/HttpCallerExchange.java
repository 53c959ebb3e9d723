package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.relay.CallerExchange;
import org.fuchsiawharf.core.relay.EndpointResponse;
import org.fuchsiawharf.core.relay.Refusal;
import org.fuchsiawharf.core.util.FatalErrors;
import org.fuchsiawharf.relay.client.OpenCall;
import org.jspecify.annotations.Nullable;

/**
 * One request on a caller's connection, until its response is written.
 *
 * <p>The decision loop calls the methods of {@link CallerExchange}, which run on the I/O thread. The body is retained
 * until the response, since the request may be sent more than once. Only the first response is written. A request whose
 * processing fails with an exception or an error is answered at once. Thread-safe, except for the methods that are
 * documented otherwise.
 */
public final class HttpCallerExchange implements CallerExchange {
    private final CallerConnection connection;
    private final CallerServer server;
    private final HttpRequest head;
    private final ByteBuf body;
    private final StreamRelay stream;
    private final AtomicBoolean released = new AtomicBoolean();
    /** The calls in flight, at most two; used on the I/O thread. */
    private final List<OpenCall> endpointCalls = new ArrayList<>(1);

    HttpCallerExchange(CallerConnection connection, CallerServer server, HttpRequest head, ByteBuf body) {
        this.connection = connection;
        this.server = server;
        this.head = head;
        this.body = body;
        this.stream = new StreamRelay(connection, RequestHeadReader.readLastEventId(head));
    }

    /**
     * Gets the head of the request.
     *
     * @return the head as received from the caller, not to be modified, never null
     */
    public HttpRequest getHead() {
        return head;
    }

    /** Gets the request's body; called on the I/O thread before the response, not to be modified or released. */
    ByteBuf getBody() {
        return body;
    }

    /**
     * Checks whether the whole response has been passed to the connection or the caller has disconnected.
     *
     * @return true if the request must not be sent to an endpoint any more
     */
    boolean isEnded() {
        return released.get();
    }

    /**
     * Gets a retained duplicate of the request's body; called on the I/O thread.
     *
     * @return the bytes, to be released by the receiver, never null
     */
    ByteBuf retainBody() {
        return body.retainedDuplicate();
    }

    StreamRelay getStream() {
        return stream;
    }

    /** Adds an endpoint call, which is paused while the caller's connection is not writable. */
    void addEndpointCall(OpenCall call) {
        endpointCalls.add(call);
    }

    /** Removes an endpoint call that has ended; the call of a hedge may go on. */
    void removeEndpointCall(OpenCall call) {
        endpointCalls.remove(call);
    }

    void onWritable(boolean writable) {
        endpointCalls.forEach(call -> call.setReading(writable));
    }

    void onCallerLeft() {
        releaseBody();
        server.onCallerLeft(this);
    }

    /** Runs a step of the request's processing; if it fails, the request is answered at once. */
    void run(Runnable step) {
        try {
            step.run();
        } catch (Throwable e) {
            fail(e);
        }
    }

    private void fail(Throwable cause) {
        FatalErrors.check(cause);
        refuse(new Refusal(Refusal.Kind.LOST, ErrorCode.INTERNAL, "the request's processing failed", 0));
        server.onRequestFailed(getRequestId(), cause);
        server.executeOnIoThread(() -> List.copyOf(endpointCalls).forEach(OpenCall::cancel));
        server.onCallerLeft(this);
    }

    private @Nullable String getRequestId() {
        return head.headers().get(server.getNames().requestId());
    }

    // -----------------------------------------------------------------------

    @Override
    public void refuse(Refusal refusal) {
        respond(() -> {
            if (stream.isHeadSent()) {
                connection.abort();
                return;
            }
            HttpHeaders fields = new DefaultHttpHeaders();
            String id = getRequestId();
            if (id != null) {
                fields.set(server.getNames().requestId(), id);
            }
            fields.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            if (refusal.retryAfterMillis() > 0) {
                fields.set(
                        HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", refusal.retryAfterMillis() / 1_000.0));
            }
            String json = "{\"code\":\"" + refusal.code().getWireName() + "\",\"detail\":\"" + refusal.detail() + "\"}";
            connection.writeResponse(statusOf(refusal), fields, Unpooled.copiedBuffer(json, StandardCharsets.UTF_8));
        });
    }

    @Override
    public void relay(EndpointResponse endpointResponse) {
        respond(() -> {
            BufferedResponse response = (BufferedResponse) endpointResponse;
            connection.writeResponse(
                    HttpResponseStatus.valueOf(response.getStatus()), response.getFields(), response.takeBody());
        });
    }

    @Override
    public void finishStream() {
        respond(connection::finishStream);
    }

    @Override
    public void abort() {
        respond(connection::abort);
    }

    // The connection may have gone on to its next request after the first response.
    private void respond(Runnable response) {
        server.executeOnIoThread(() -> {
            if (releaseBody()) {
                runOrAbort(response);
            }
        });
    }

    private void runOrAbort(Runnable response) {
        try {
            response.run();
        } catch (Throwable e) {
            FatalErrors.check(e);
            try {
                server.onRequestFailed(getRequestId(), e);
            } finally {
                // Part of the response may be written, so that only the end of the connection is unambiguous.
                connection.abort();
            }
        }
    }

    private boolean releaseBody() {
        boolean first = released.compareAndSet(false, true);
        if (first) {
            body.release();
        }
        return first;
    }

    private static HttpResponseStatus statusOf(Refusal refusal) {
        return switch (refusal.kind()) {
            case NOT_RUN -> HttpResponseStatus.SERVICE_UNAVAILABLE;
            case NO_ROUTE -> HttpResponseStatus.NOT_FOUND;
            case NO_WORKSPACE -> HttpResponseStatus.UNAUTHORIZED;
            case LOST -> HttpResponseStatus.BAD_GATEWAY;
            case TIMED_OUT -> HttpResponseStatus.GATEWAY_TIMEOUT;
        };
    }
}
