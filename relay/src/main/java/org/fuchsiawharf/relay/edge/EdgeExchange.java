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
import org.fuchsiawharf.core.relay.EndpointAnswer;
import org.fuchsiawharf.core.relay.Refusal;
import org.fuchsiawharf.relay.client.OpenCall;
import org.jspecify.annotations.Nullable;

/**
 * One request on a caller's connection, until its answer is written.
 *
 * <p>The decisions call it from their loop, and each of their calls is carried out on the I/O thread. The body is
 * kept until the answer, since the request may be sent more than once.
 */
public final class EdgeExchange implements CallerExchange {
    private final CallerConnection connection;
    private final Edge edge;
    private final HttpRequest head;
    private final ByteBuf body;
    private final StreamRelay stream;
    private final AtomicBoolean released = new AtomicBoolean();
    private @Nullable OpenCall source;

    EdgeExchange(CallerConnection connection, Edge edge, HttpRequest head, ByteBuf body) {
        this.connection = connection;
        this.edge = edge;
        this.head = head;
        this.body = body;
        this.stream = new StreamRelay(connection, CallerRequestHead.lastEventId(head));
    }

    /**
     * Gets the request's head.
     *
     * @return the head as the caller sent it, never null, not to be changed
     */
    public HttpRequest getHead() {
        return head;
    }

    /**
     * Tells whether the request needs no endpoint any more, because it is answered or its caller has left.
     *
     * @return true if nothing may be sent for it
     */
    boolean isOver() {
        return released.get();
    }

    /**
     * Gets a copy of the request's body that is the receiver's own; called on the I/O thread.
     *
     * @return the bytes, never null
     */
    ByteBuf retainBody() {
        return body.retainedDuplicate();
    }

    StreamRelay getStream() {
        return stream;
    }

    /** Sets the call whose reading follows the caller's. */
    void setSource(@Nullable OpenCall call) {
        source = call;
    }

    void onWritable(boolean writable) {
        OpenCall present = source;
        if (present != null) {
            present.setReading(writable);
        }
    }

    void onCallerLeft() {
        releaseBody();
        edge.left(this);
    }

    // -----------------------------------------------------------------------

    @Override
    public void refuse(Refusal refusal) {
        edge.onIo(() -> {
            releaseBody();
            if (stream.isBegun()) {
                connection.breakOff();
                return;
            }
            HttpHeaders fields = new DefaultHttpHeaders();
            String id = head.headers().get(edge.getNames().requestId());
            if (id != null) {
                fields.set(edge.getNames().requestId(), id);
            }
            fields.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
            if (refusal.retryAfterMillis() > 0) {
                fields.set(
                        HttpHeaderNames.RETRY_AFTER,
                        String.format(Locale.ROOT, "%.3f", refusal.retryAfterMillis() / 1_000.0));
            }
            String text = "{\"code\":\"" + refusal.code().getWireName() + "\",\"detail\":\"" + refusal.detail() + "\"}";
            connection.writeWhole(statusOf(refusal), fields, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
        });
    }

    @Override
    public void relay(EndpointAnswer answer) {
        edge.onIo(() -> {
            releaseBody();
            BufferedAnswer buffered = (BufferedAnswer) answer;
            connection.writeWhole(
                    HttpResponseStatus.valueOf(buffered.getStatus()), buffered.getFields(), buffered.takeBody());
        });
    }

    @Override
    public void finishStream() {
        edge.onIo(() -> {
            releaseBody();
            connection.finishStream();
        });
    }

    @Override
    public void breakOff() {
        edge.onIo(() -> {
            releaseBody();
            connection.breakOff();
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
