package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicBoolean;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import org.fuchsiawharf.core.relay.CallerExchange;
import org.fuchsiawharf.core.relay.EndpointResponse;
import org.fuchsiawharf.core.relay.Refusal;
import org.fuchsiawharf.relay.client.OpenCall;
import org.jspecify.annotations.Nullable;

/**
 * One request on a caller's connection, until its response is written.
 *
 * <p>The decision loop calls the methods of {@link CallerExchange}, which run on the I/O thread. The body is retained
 * until the response, since the request may be sent more than once.
 */
public final class HttpCallerExchange implements CallerExchange {
    private final CallerConnection connection;
    private final CallerServer server;
    private final HttpRequest head;
    private final ByteBuf body;
    private final StreamRelay stream;
    private final AtomicBoolean released = new AtomicBoolean();
    private @Nullable OpenCall endpointCall;

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

    /** Sets the endpoint call that is paused while the caller's connection is not writable. */
    void setEndpointCall(@Nullable OpenCall call) {
        endpointCall = call;
    }

    void onWritable(boolean writable) {
        OpenCall call = endpointCall;
        if (call != null) {
            call.setReading(writable);
        }
    }

    void onCallerLeft() {
        releaseBody();
        server.onCallerLeft(this);
    }

    // -----------------------------------------------------------------------

    @Override
    public void refuse(Refusal refusal) {
        server.executeOnIoThread(() -> {
            releaseBody();
            if (stream.isHeadSent()) {
                connection.abort();
                return;
            }
            HttpHeaders fields = new DefaultHttpHeaders();
            String id = head.headers().get(server.getNames().requestId());
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
        server.executeOnIoThread(() -> {
            releaseBody();
            BufferedResponse response = (BufferedResponse) endpointResponse;
            connection.writeResponse(
                    HttpResponseStatus.valueOf(response.getStatus()), response.getFields(), response.takeBody());
        });
    }

    @Override
    public void finishStream() {
        server.executeOnIoThread(() -> {
            releaseBody();
            connection.finishStream();
        });
    }

    @Override
    public void abort() {
        server.executeOnIoThread(() -> {
            releaseBody();
            connection.abort();
        });
    }

    private void releaseBody() {
        if (released.compareAndSet(false, true)) {
            body.release();
        }
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
