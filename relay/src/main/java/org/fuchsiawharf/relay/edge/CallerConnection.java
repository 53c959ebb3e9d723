package org.fuchsiawharf.relay.edge;

import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.CompositeByteBuf;
import io.netty.buffer.Unpooled;
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
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import org.fuchsiawharf.core.route.ClientLimits;
import org.jspecify.annotations.Nullable;

/**
 * One caller's connection.
 *
 * <p>Requests are answered one at a time and in order; what comes behind the present one waits. While a request has
 * no answer, the connection is still read, so that a caller that leaves is seen at once. The connection is closed
 * only between requests, or to show that an answer is not whole. Confined to the I/O thread.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter {
    /** Decoded parts of later requests that wait; a caller that sends more is not read. */
    private static final int MAX_WAITING_PARTS = 64;
    /** How long the caller has to close after the last answer; some round trips. */
    private static final long LINGER_MILLIS = 1_000;

    private final Edge edge;
    private final Deque<Object> waiting = new ArrayDeque<>();
    private @Nullable ChannelHandlerContext context;
    private @Nullable HttpRequest head;
    private @Nullable CompositeByteBuf body;
    private @Nullable EdgeExchange exchange;
    private boolean closeAfter;
    private boolean closing;
    private boolean streaming;
    private long quietSince = System.nanoTime();

    CallerConnection(Edge edge) {
        this.edge = edge;
    }

    // -----------------------------------------------------------------------

    @Override
    public void channelActive(ChannelHandlerContext active) {
        context = active;
        edge.opened(this);
    }

    @Override
    public void channelRead(ChannelHandlerContext active, Object message) {
        quietSince = System.nanoTime();
        if (closing) {
            ReferenceCountUtil.release(message);
        } else if (exchange != null) {
            waiting.add(message);
            if (waiting.size() > MAX_WAITING_PARTS) {
                active.channel().config().setAutoRead(false);
            }
        } else {
            take(active, message);
        }
    }

    private void take(ChannelHandlerContext active, Object message) {
        try {
            if (message instanceof HttpRequest request) {
                onHead(active, request);
            }
            if (message instanceof HttpContent content && head != null) {
                onContent(active, content);
            }
        } finally {
            ReferenceCountUtil.release(message);
        }
    }

    private void onHead(ChannelHandlerContext active, HttpRequest request) {
        Throwable cause = request.decoderResult().cause();
        if (cause != null) {
            boolean tooLong = cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException;
            refuseAndClose(
                    tooLong ? HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE : HttpResponseStatus.BAD_REQUEST,
                    String.valueOf(cause.getMessage()));
            return;
        }
        String problem = findAmbiguity(request);
        if (problem != null) {
            refuseAndClose(HttpResponseStatus.BAD_REQUEST, problem);
            return;
        }
        head = request;
        body = Unpooled.compositeBuffer();
        if (HttpUtil.is100ContinueExpected(request)) {
            active.writeAndFlush(new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
        }
    }

    private @Nullable String findAmbiguity(HttpRequest request) {
        HttpHeaders fields = request.headers();
        List<String> codings = fields.getAll(HttpHeaderNames.TRANSFER_ENCODING);
        if (codings.size() > 1 || (codings.size() == 1 && !codings.get(0).trim().equalsIgnoreCase("chunked"))) {
            return "transfer encodings other than chunked are not supported";
        }
        if (!codings.isEmpty() && !request.protocolVersion().equals(HttpVersion.HTTP_1_1)) {
            return "chunks need HTTP/1.1";
        }
        if (fields.getAll(HttpHeaderNames.HOST).size() != 1) {
            return "the request needs exactly one host";
        }
        for (String single : edge.getSingleFields()) {
            if (fields.getAll(single).size() > 1) {
                return "the field " + single + " stands more than once";
            }
        }
        return null;
    }

    private void onContent(ChannelHandlerContext active, HttpContent content) {
        CompositeByteBuf collected = body;
        HttpRequest request = head;
        if (collected == null || request == null) {
            return;
        }
        if (content.decoderResult().isFailure()) {
            refuseAndClose(HttpResponseStatus.BAD_REQUEST, "malformed body");
            return;
        }
        collected.addComponent(true, content.content().retain());
        if (collected.readableBytes() > edge.getLimits().maxBodyBytes()) {
            refuseAndClose(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, "the body is too large");
        } else if (content instanceof LastHttpContent) {
            head = null;
            body = null;
            closeAfter = !HttpUtil.isKeepAlive(request);
            EdgeExchange next = new EdgeExchange(this, edge, request, collected);
            exchange = next;
            edge.arrived(next);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext inactive) {
        edge.closed(this);
        closing = true;
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        dropBody();
        EdgeExchange open = exchange;
        exchange = null;
        if (open != null) {
            open.onCallerLeft();
        }
    }

    @Override
    public void channelWritabilityChanged(ChannelHandlerContext changed) {
        EdgeExchange open = exchange;
        if (open != null) {
            open.onWritable(changed.channel().isWritable());
        }
        changed.fireChannelWritabilityChanged();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext failed, Throwable cause) {
        edge.connectionFailed(String.valueOf(cause.getMessage()));
        failed.close();
    }

    // -----------------------------------------------------------------------

    /** Closes the connection if it has been quiet for too long between or within requests. */
    void checkQuiet(long nowNanos, ClientLimits limits, boolean closeIdle) {
        ChannelHandlerContext present = context;
        if (exchange != null || closing || present == null) {
            return;
        }
        long quietMillis = (nowNanos - quietSince) / 1_000_000;
        if (head != null && quietMillis > limits.headerTimeoutMillis()) {
            refuseAndClose(HttpResponseStatus.REQUEST_TIMEOUT, "the request did not end in time");
        } else if (head == null && (closeIdle || quietMillis > limits.idleTimeoutMillis())) {
            closing = true;
            present.close();
        }
    }

    void writeWhole(HttpResponseStatus status, HttpHeaders fields, ByteBuf content) {
        ChannelHandlerContext present = context;
        if (present == null || exchange == null) {
            content.release();
            return;
        }
        boolean headRequest = HttpMethod.HEAD.equals(exchange.getHead().method());
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(fields);
        if (!headRequest || !fields.contains(HttpHeaderNames.CONTENT_LENGTH)) {
            HttpUtil.setContentLength(response, content.readableBytes());
        }
        finish(present, response);
    }

    void startStream(int status, HttpHeaders fields) {
        ChannelHandlerContext present = context;
        if (present != null && exchange != null) {
            streaming = true;
            HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status));
            response.headers().set(fields).set(HttpHeaderNames.TRANSFER_ENCODING, HttpHeaderValues.CHUNKED);
            markClose(response);
            present.writeAndFlush(response);
        }
    }

    void writeStream(ByteBuf event) {
        ChannelHandlerContext present = context;
        if (present != null && streaming) {
            present.writeAndFlush(new DefaultHttpContent(event));
        } else {
            event.release();
        }
    }

    void finishStream() {
        ChannelHandlerContext present = context;
        if (present != null && streaming) {
            finish(present, new DefaultLastHttpContent());
        }
    }

    /** Closes the connection so that the caller sees that its answer is not whole. */
    void breakOff() {
        closing = true;
        exchange = null;
        ChannelHandlerContext present = context;
        if (present != null) {
            present.close();
        }
    }

    private void finish(ChannelHandlerContext present, Object last) {
        if (last instanceof HttpResponse response) {
            markClose(response);
        }
        streaming = false;
        exchange = null;
        quietSince = System.nanoTime();
        present.writeAndFlush(last);
        if (closeAfter) {
            closeGently(present);
            return;
        }
        present.channel().config().setAutoRead(true);
        while (exchange == null && !closing && !waiting.isEmpty()) {
            take(present, waiting.remove());
        }
    }

    private void markClose(HttpResponse response) {
        closeAfter |= edge.isDraining();
        if (closeAfter) {
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        }
    }

    private void refuseAndClose(HttpResponseStatus status, String detail) {
        ChannelHandlerContext present = context;
        dropBody();
        if (present == null) {
            return;
        }
        edge.malformed(status.code(), detail);
        ByteBuf content = Unpooled.copiedBuffer(detail, StandardCharsets.UTF_8);
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(HttpVersion.HTTP_1_1, status, content);
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.TEXT_PLAIN);
        response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
        HttpUtil.setContentLength(response, content.readableBytes());
        present.writeAndFlush(response);
        closeGently(present);
    }

    // A close with unread bytes would reset the connection and lose the answer.
    private void closeGently(ChannelHandlerContext present) {
        closing = true;
        waiting.forEach(ReferenceCountUtil::release);
        waiting.clear();
        present.channel().config().setAutoRead(true);
        present.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(done -> {
            if (present.channel() instanceof SocketChannel socket) {
                socket.shutdownOutput().addListener(ChannelFutureListener.CLOSE_ON_FAILURE);
            }
        });
        present.executor().schedule(() -> present.close(), LINGER_MILLIS, java.util.concurrent.TimeUnit.MILLISECONDS);
    }

    private void dropBody() {
        head = null;
        CompositeByteBuf collected = body;
        body = null;
        if (collected != null) {
            collected.release();
        }
    }
}
