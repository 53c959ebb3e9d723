package org.fuchsiawharf.relay.instance;

import java.nio.charset.StandardCharsets;
import java.util.function.Function;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import org.fuchsiawharf.core.limits.CallerMemory;
import org.fuchsiawharf.core.limits.ClientLimitLog;
import org.fuchsiawharf.core.util.FatalErrors;
import org.fuchsiawharf.relay.edge.RequestDecoder;
import org.jspecify.annotations.Nullable;

/**
 * One connection to the status pages.
 *
 * <p>A request is read only after the response to the one before it has been passed to the operating system. Confined to
 * the I/O thread.
 */
final class StatusConnection extends SimpleChannelInboundHandler<FullHttpRequest> {
    /** Maximum size of a head, and of what is read while a response is unread. */
    static final int MAX_REQUEST_BYTES = 8_192;

    private final Function<String, StatusServer.Page> pages;
    private final CallerMemory memory;
    private final ClientLimitLog limitLog;
    private final RequestDecoder decoder;
    private CallerMemory.@Nullable Account account;
    private @Nullable ChannelFuture lastWrite;
    private int responseBytes;

    /**
     * Creates a handler.
     *
     * @param pages renders the page of a path, not null
     * @param maxHeaderLines the maximum number of lines of a head
     * @param memory decides which connections are closed, not null
     * @param limitLog records them, not null
     */
    StatusConnection(
            Function<String, StatusServer.Page> pages,
            int maxHeaderLines,
            CallerMemory memory,
            ClientLimitLog limitLog) {
        this.pages = pages;
        this.memory = memory;
        this.limitLog = limitLog;
        this.decoder = new RequestDecoder(MAX_REQUEST_BYTES, maxHeaderLines, this::isWriting);
    }

    RequestDecoder getDecoder() {
        return decoder;
    }

    private boolean isWriting() {
        ChannelFuture write = lastWrite;
        return write != null && !write.isDone();
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
        Channel channel = context.channel();
        account = memory.open(limit -> close(channel, limit));
        if (account == null) {
            close(channel, CallerMemory.Limit.MAX_CONNECTIONS);
        }
    }

    // Called while a step of this or another connection is executed.
    private void close(Channel channel, CallerMemory.Limit limit) {
        limitLog.onLimited(String.valueOf(channel.remoteAddress()), limit.getSetting());
        channel.eventLoop().execute(channel::close);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        CallerMemory.Account current = account;
        if (current != null) {
            current.close();
        }
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
        if (request.decoderResult().isFailure()) {
            limitLog.onLimited(String.valueOf(context.channel().remoteAddress()), "malformed");
            context.close();
            return;
        }
        String uri = request.uri();
        int query = uri.indexOf('?');
        StatusServer.Page page = pages.apply(query < 0 ? uri : uri.substring(0, query));
        byte[] content = page.text().getBytes(StandardCharsets.UTF_8);
        boolean headOnly = HttpMethod.HEAD.equals(request.method());
        DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                HttpVersion.HTTP_1_1,
                HttpResponseStatus.valueOf(page.status()),
                headOnly ? Unpooled.EMPTY_BUFFER : Unpooled.wrappedBuffer(content));
        response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
        HttpUtil.setContentLength(response, content.length);
        boolean keepAlive = HttpUtil.isKeepAlive(request);
        HttpUtil.setKeepAlive(response, keepAlive);
        responseBytes = content.length;
        ChannelFuture write = context.writeAndFlush(response);
        lastWrite = write;
        if (!keepAlive) {
            write.addListener(ChannelFutureListener.CLOSE);
        } else if (!write.isDone()) {
            write.addListener(done -> context.executor().execute(() -> onWritten(context)));
        }
    }

    private void onWritten(ChannelHandlerContext context) {
        context.channel().config().setAutoRead(true);
        decoder.resume();
        countMemory();
    }

    @Override
    public void channelReadComplete(ChannelHandlerContext context) {
        if (isWriting() && decoder.getUndecodedBytes() > MAX_REQUEST_BYTES) {
            context.channel().config().setAutoRead(false);
        }
        countMemory();
    }

    // A connection on which requests come is not the first to be closed for a new one.
    private void countMemory() {
        CallerMemory.Account current = account;
        if (current != null) {
            current.touch();
            current.setBytes(decoder.getHeldBytes() + (isWriting() ? responseBytes : 0));
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.check(cause);
        context.close();
    }
}
