package org.fuchsiawharf.relay.edge;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.socket.SocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.DefaultLastHttpContent;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import org.fuchsiawharf.core.limits.CallerMemory;
import org.fuchsiawharf.core.route.CallerLimits;
import org.fuchsiawharf.core.util.FatalErrors;
import org.fuchsiawharf.relay.Failures;
import org.jspecify.annotations.Nullable;

/**
 * The connection of one caller.
 *
 * <p>Requests are handled one at a time and in order; pipelined requests are queued up to a bound, and not handled while
 * the caller does not read its responses. The connection is read while a request is in flight, so that a disconnect of
 * the caller is detected at once. It is closed only between requests, at a limit, or because a response is incomplete. A
 * response belongs to its request until the operating system has its last byte. Confined to the I/O thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Memory of a connection without a request: the channel with its handlers, and timers. */
    private static final int CONNECTION_BYTES = 8_192;
    /** Time for the caller to close the connection after the last response; several round trips. */
    private static final long LINGER_MILLIS = 1_000;

    private final CallerServer server;
    private final RequestDecoder decoder;
    private final PendingParts pendingParts = new PendingParts();
    private CallerMemory.@Nullable Account account;
    private @Nullable ChannelHandlerContext channelContext;
    private @Nullable HttpRequest requestHead;
    private @Nullable BodyCollector requestBody;
    private @Nullable HttpCallerExchange exchange;
    /** Memory of the request that is received or answered, without its body while it is received. */
    private long requestBytes;

    private boolean closeAfterResponse;
    private boolean closing;
    private boolean streaming;
    private @Nullable ChannelFuture lastWrite;
    private long unwrittenBytes;
    private long lastActivityNanos = System.nanoTime();

    CallerConnection(CallerServer server) {
        this.server = server;
        this.decoder = new RequestDecoder(
                server.getLimits().maxHeaderBytes(), server.getBounds().maxHeaderLines(), this::isReadAheadFull);
    }

    RequestDecoder getDecoder() {
        return decoder;
    }

    // -----------------------------------------------------------------------

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channelContext = context;
        account = server.getMemory().open(this::onLimited);
        if (account == null) {
            closing = true;
            onLimited(CallerMemory.Limit.MAX_CONNECTIONS);
        } else {
            server.onOpened(this);
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        lastActivityNanos = System.nanoTime();
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (mayProcess(context) && pendingParts.isEmpty()) {
            process(context, message, decoder.getLastHeadBytes());
        } else {
            pendingParts.add(message, message instanceof HttpRequest ? decoder.getLastHeadBytes() : 0);
        }
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        long readAheadBytes = pendingParts.getHeldBytes() + decoder.getUndecodedBytes();
        boolean reads = context.channel().config().isAutoRead();
        if (reads && !mayProcess(context) && readAheadBytes > server.getBounds().maxReadAheadBytes()) {
            context.channel().config().setAutoRead(false);
            server.onLimited(context.channel(), "max_read_ahead_bytes");
        }
        countMemory();
        context.fireChannelReadComplete();
    }

    // While the caller does not read its responses, no more of them are produced.
    private boolean mayProcess(ChannelHandlerContext context) {
        return exchange == null && context.channel().isWritable();
    }

    private void processPending(ChannelHandlerContext context) {
        while (mayProcess(context) && !closing && !pendingParts.isEmpty()) {
            PendingParts.Part part = pendingParts.remove();
            process(context, part.message(), part.headBytes());
        }
        if (!closing && !isReadAheadFull()) {
            context.channel().config().setAutoRead(true);
            decoder.resume();
        }
        countMemory();
    }

    private boolean isReadAheadFull() {
        return !closing && pendingParts.getHeldBytes() >= server.getBounds().maxReadAheadBytes();
    }

    // -----------------------------------------------------------------------

    private void countMemory() {
        CallerMemory.Account current = account;
        ChannelHandlerContext context = channelContext;
        if (current == null || context == null) {
            return;
        }
        BodyCollector body = requestBody;
        current.setState(getState(context));
        current.setBytes(CONNECTION_BYTES
                + decoder.getHeldBytes()
                + requestBytes
                + (body == null ? 0 : body.getHeldBytes())
                + pendingParts.getHeldBytes()
                + CallerResponses.countUnwrittenBytes(context.channel()));
    }

    private CallerMemory.State getState(ChannelHandlerContext context) {
        if (!hasUnsentResponse()) {
            return CallerMemory.State.WAITING;
        }
        boolean ahead = !pendingParts.isEmpty() || decoder.getUndecodedBytes() > 0;
        boolean unread = exchange == null || !context.channel().isWritable();
        return ahead || unread ? CallerMemory.State.UNREAD : CallerMemory.State.BUSY;
    }

    // Called while another connection, or a step of this one, is processed.
    private void onLimited(CallerMemory.Limit limit) {
        ChannelHandlerContext context = channelContext;
        if (context != null) {
            server.onLimited(context.channel(), limit.getSetting());
            context.executor().execute(() -> closeLimited(context, limit));
        }
    }

    // The time to read a response takes a descriptor, which is not spent if there are too many connections.
    private void closeLimited(ChannelHandlerContext context, CallerMemory.Limit limit) {
        if (limit == CallerMemory.Limit.MAX_BYTES && requestHead != null && !closing && !hasUnsentResponse()) {
            rejectAndClose(HttpResponseStatus.SERVICE_UNAVAILABLE, "the callers hold too much memory");
        } else {
            context.close();
        }
    }

    private void process(ChannelHandlerContext context, Object message, long headBytes) {
        try {
            if (message instanceof HttpRequest request) {
                requestBytes = headBytes;
                onHead(context, request);
            }
            HttpRequest head = requestHead;
            if (message instanceof HttpContent content && head != null) {
                onContent(context, head, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(ChannelHandlerContext context, HttpRequest request) {
        RequestCheck.Problem problem = RequestCheck.find(request, server.getSingleValuedFields());
        if (problem != null) {
            if (decoder.isRejected()) {
                server.onLimited(context.channel(), "max_header_lines");
            }
            rejectAndClose(problem.status(), problem.detail());
            return;
        }
        requestHead = request;
        if (HttpUtil.is100ContinueExpected(request)) {
            context.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private void onContent(ChannelHandlerContext context, HttpRequest request, HttpContent content) {
        if (content.decoderResult().isFailure()) {
            if (content.decoderResult().cause() instanceof TooLongHttpHeaderException) {
                server.onLimited(context.channel(), "trailers");
            }
            rejectAndClose(HttpResponseStatus.BAD_REQUEST, "malformed body");
            return;
        }
        if (content.content().isReadable()) {
            // Bodies that are discarded would fill the heap until the next collection of its old generation.
            requestBody = requestBody == null ? new BodyCollector(context.alloc()) : requestBody;
            requestBody.add(content.content());
        }
        BodyCollector body = requestBody;
        if (body != null && body.size() > server.getLimits().maxBodyBytes()) {
            rejectAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        } else if (content instanceof LastHttpContent) {
            requestHead = null;
            requestBody = null;
            closeAfterResponse = !HttpUtil.isKeepAlive(request);
            requestBytes += body == null ? 0 : body.getHeldBytes();
            ByteBuf completeBody = body == null ? Unpooled.EMPTY_BUFFER : body.complete();
            HttpCallerExchange newExchange = new HttpCallerExchange(this, server, request, completeBody);
            exchange = newExchange;
            server.onRequest(newExchange);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        server.onClosed(this, account);
        closing = true;
        pendingParts.release();
        discardRequest();
        HttpCallerExchange currentExchange = exchange;
        exchange = null;
        if (currentExchange != null) {
            currentExchange.onCallerLeft();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext context) {
        HttpCallerExchange currentExchange = exchange;
        if (currentExchange != null) {
            currentExchange.onWritable(context.channel().isWritable());
        } else if (context.channel().isWritable()) {
            processPending(context);
        }
        countMemory();
        context.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.check(cause);
        boolean broken = cause instanceof IOException;
        server.onConnectionFailed(broken ? String.valueOf(cause.getMessage()) : Failures.describe(cause));
        context.close();
    }

    // -----------------------------------------------------------------------

    /** Closes the connection after the idle timeout, or after the header timeout if a request is incomplete. */
    void checkTimeout(long nowNanos, CallerLimits limits, boolean closeIdle) {
        ChannelHandlerContext context = channelContext;
        if (exchange != null || context == null) {
            return;
        }
        if (isWriting(context.channel(), nowNanos)) {
            closeIfStalled(context, nowNanos, limits);
            return;
        }
        if (closing) {
            return;
        }
        long inactiveMillis = (nowNanos - lastActivityNanos) / 1_000_000;
        if (requestHead != null && inactiveMillis > limits.headerTimeoutMillis()) {
            rejectAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
        } else if (requestHead == null && (closeIdle || inactiveMillis > limits.idleTimeoutMillis())) {
            closing = true;
            context.close();
        }
    }

    /** Checks whether a request was read whose response has not been passed to the operating system in full. */
    boolean hasUnsentResponse() {
        ChannelFuture write = lastWrite;
        return exchange != null || (write != null && !write.isDone());
    }

    // Records the progress of a response that the caller is still reading.
    private boolean isWriting(Channel channel, long nowNanos) {
        ChannelFuture write = lastWrite;
        if (write == null || write.isDone()) {
            return false;
        }
        long bytes = CallerResponses.countUnwrittenBytes(channel);
        if (bytes != unwrittenBytes) {
            unwrittenBytes = bytes;
            lastActivityNanos = nowNanos;
        }
        return true;
    }

    private void closeIfStalled(ChannelHandlerContext context, long nowNanos, CallerLimits limits) {
        if ((nowNanos - lastActivityNanos) / 1_000_000 > limits.idleTimeoutMillis()) {
            server.onConnectionFailed("the caller has not read its response for the idle timeout");
            closing = true;
            context.close();
        }
    }

    void writeResponse(HttpResponseStatus status, HttpHeaders fields, ByteBuf content) {
        ChannelHandlerContext context = channelContext;
        if (context == null || exchange == null) {
            content.release();
            return;
        }
        finish(context, CallerResponses.create(exchange.getHead().method(), status, fields, content));
    }

    void startStream(int status, HttpHeaders fields) {
        ChannelHandlerContext context = channelContext;
        if (context != null && exchange != null) {
            streaming = true;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(fields).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            applyConnectionClose(response);
            write(context, response);
        }
    }

    void writeEvents(ByteBuf events) {
        ChannelHandlerContext context = channelContext;
        if (context != null && streaming) {
            write(context, new DefaultHttpContent(events));
        } else {
            events.release();
        }
    }

    void finishStream() {
        ChannelHandlerContext context = channelContext;
        if (context != null && streaming) {
            finish(context, new DefaultLastHttpContent());
        }
    }

    /** Closes the connection, which signals to the caller that its response is incomplete. */
    void abort() {
        closing = true;
        exchange = null;
        ChannelHandlerContext context = channelContext;
        if (context != null) {
            context.close();
        }
    }

    private void finish(ChannelHandlerContext context, Object last) {
        if (last instanceof HttpResponse response) {
            applyConnectionClose(response);
        }
        streaming = false;
        exchange = null;
        requestBytes = 0;
        lastActivityNanos = System.nanoTime();
        trackWrite(write(context, last));
        if (closeAfterResponse) {
            closeGracefully(context);
            return;
        }
        processPending(context);
    }

    // A response must not end as complete without a part that was not written.
    private ChannelFuture write(ChannelHandlerContext context, Object message) {
        ChannelFuture write = context.writeAndFlush(message);
        countMemory();
        return write.addListener(done -> {
            countMemory();
            if (!done.isSuccess() && context.channel().isActive()) {
                server.onConnectionFailed("a response was not written: " + Failures.describe(done.cause()));
                abort();
            }
        });
    }

    private void trackWrite(ChannelFuture write) {
        lastWrite = write;
        write.addListener(done -> lastActivityNanos = System.nanoTime());
    }

    private void applyConnectionClose(HttpResponse response) {
        // A request that was read behind this one is answered before the connection is closed.
        closeAfterResponse |= server.isDraining() && pendingParts.isEmpty();
        if (closeAfterResponse) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void rejectAndClose(HttpResponseStatus status, String detail) {
        ChannelHandlerContext context = channelContext;
        discardRequest();
        if (context == null) {
            return;
        }
        server.onMalformed(status.code(), detail);
        context.writeAndFlush(CallerResponses.createRejection(status, detail));
        closeGracefully(context);
    }

    // Closing the socket with unread bytes would reset the connection and discard the response.
    private void closeGracefully(ChannelHandlerContext context) {
        closing = true;
        pendingParts.release();
        context.channel().config().setAutoRead(true);
        ChannelFuture write = context.writeAndFlush(Unpooled.EMPTY_BUFFER);
        trackWrite(write);
        write.addListener(done -> {
            if (context.channel() instanceof SocketChannel socket) {
                socket.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            }
            context.executor().schedule(() -> context.close(), LINGER_MILLIS, TimeUnit.MILLISECONDS);
        });
    }

    private void discardRequest() {
        requestHead = null;
        requestBytes = exchange == null ? 0 : requestBytes;
        BodyCollector body = requestBody;
        requestBody = null;
        if (body != null) {
            body.release();
        }
    }
}
