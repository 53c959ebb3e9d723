package org.fuchsiawharf.relay.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.fuchsiawharf.core.port.CallFailure;
import org.jspecify.annotations.Nullable;

/**
 * One connection, which carries one call at a time.
 *
 * <p>A response counts for the open call only if it carries the call's id; another one is a late second answer and
 * is skipped. Bytes that belong to no call, an unclean end and a response that came before the request was written
 * whole all keep the connection from being used again. Confined to the I/O thread.
 */
final class EndpointConnection extends ChannelInboundHandlerAdapter {
    /** How long a connection is kept if the other side does not say; below the idle bounds seen in the field. */
    private static final long DEFAULT_KEEP_NANOS = 1_000_000_000L;
    /** Taken off the time that the other side promises to keep the connection, for the way there. */
    private static final long KEEP_MARGIN_NANOS = 500_000_000L;

    private final HttpClient client;
    private final ResponseDecoder decoder;
    private final Channel channel;
    private @Nullable OpenCall call;
    private @Nullable ChannelFuture written;
    private boolean skipping;
    private boolean poisoned;
    private boolean broken;
    private boolean whole;
    private long keepNanos = DEFAULT_KEEP_NANOS;
    private long idleSince;

    EndpointConnection(HttpClient client, ResponseDecoder decoder, Channel channel) {
        this.client = client;
        this.decoder = decoder;
        this.channel = channel;
    }

    // -----------------------------------------------------------------------

    /** Sends a call on the idle connection. */
    void send(OpenCall next) {
        call = next;
        whole = false;
        next.attach(this);
        decoder.expect(next.method());
        HttpCall terms = next.call;
        channel.write(terms.head());
        ByteBuf body = terms.body();
        LastHttpContent last =
                body.isReadable() ? new DefaultLastHttpContent(body) : LastHttpContent.EMPTY_LAST_CONTENT;
        if (!body.isReadable()) {
            body.release();
        }
        ChannelPromise promise = channel.newPromise();
        written = promise;
        channel.writeAndFlush(last, promise);
    }

    /** Tells whether a call may be sent on the connection now. */
    boolean isReusable(long maxIdleNanos) {
        long idle = System.nanoTime() - idleSince;
        return call == null
                && !poisoned
                && channel.isActive()
                && idle < Math.min(maxIdleNanos, keepNanos)
                && !decoder.hasLeftover();
    }

    void close() {
        poisoned = true;
        channel.close();
    }

    void setReading(boolean reading) {
        channel.config().setAutoRead(reading);
    }

    Channel getChannel() {
        return channel;
    }

    // -----------------------------------------------------------------------

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        try {
            OpenCall open = call;
            if (open == null || open.isEnded() || whole) {
                poisoned = true;
            } else {
                open.heard();
                if (message instanceof HttpResponse response) {
                    onHead(open, response);
                }
                if (message instanceof HttpContent content && call != null) {
                    onContent(open, content);
                }
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(OpenCall open, HttpResponse response) {
        if (response.decoderResult().isFailure()) {
            fail(
                    CallFailure.GARBAGE,
                    "malformed response: " + response.decoderResult().cause());
            return;
        }
        boolean informational = response.status().codeClass() == HttpStatusClass.INFORMATIONAL
                && response.status().code() != HttpResponseStatus.SWITCHING_PROTOCOLS.code();
        String expected = open.call.expectedId();
        String id = expected == null ? null : response.headers().get(client.getIdField());
        boolean foreign = id != null && !id.equals(expected);
        skipping = informational || foreign;
        if (foreign) {
            // A late second answer to an earlier request; ours comes behind it.
            poisoned = true;
        }
        if (skipping) {
            return;
        }
        if (expected != null && id == null && response.status().codeClass() == HttpStatusClass.SUCCESS) {
            fail(CallFailure.GARBAGE, "the response carries no request id");
            return;
        }
        noteKeepAlive(response);
        ChannelFuture sent = written;
        if (sent == null || !sent.isDone()) {
            poisoned = true;
        }
        open.listener().onHead(response.status().code(), response.headers());
    }

    private void noteKeepAlive(HttpResponse response) {
        if (!HttpUtil.isKeepAlive(response)) {
            poisoned = true;
        }
        String value = response.headers().get("keep-alive");
        int at = value == null ? -1 : value.indexOf("timeout=");
        if (value != null && at >= 0) {
            int end = at + "timeout=".length();
            int start = end;
            while (end < value.length() && Character.isDigit(value.charAt(end))) {
                end++;
            }
            if (end > start && end - start < 6) {
                keepNanos = Long.parseLong(value.substring(start, end)) * 1_000_000_000L - KEEP_MARGIN_NANOS;
            }
        }
    }

    private void onContent(OpenCall open, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            fail(
                    CallFailure.GARBAGE,
                    "malformed body: " + content.decoderResult().cause());
            return;
        }
        boolean last = content instanceof LastHttpContent;
        if (skipping) {
            skipping = !last;
            return;
        }
        if (content.content().isReadable()) {
            open.listener().onData(content.content());
        }
        if (last && broken) {
            fail(CallFailure.LOST, "the connection was reset within the body");
        } else if (last) {
            whole = true;
            // Kept only once this read is over, so that bytes behind the response are seen.
            if (open.end()) {
                open.listener().onWhole();
            }
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (whole && call != null) {
            call = null;
            skipping = false;
            idleSince = System.nanoTime();
            if (poisoned || decoder.hasLeftover() || !channel.isActive()) {
                channel.close();
            } else {
                channel.config().setAutoRead(true);
                client.keep(this);
            }
        } else if (call == null && poisoned) {
            channel.close();
        }
        context.fireChannelReadComplete();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        broken = true;
        fail(CallFailure.LOST, String.valueOf(cause.getMessage()));
        channel.close();
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        poisoned = true;
        client.forget(this);
        fail(CallFailure.LOST, "the connection was closed before the response was whole");
    }

    private void fail(CallFailure failure, String detail) {
        OpenCall open = call;
        poisoned = true;
        if (open != null && open.end()) {
            call = null;
            open.listener().onFailed(failure, detail);
            channel.close();
        }
    }
}
