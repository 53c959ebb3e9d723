package org.fuchsiawharf.relay.client;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Decodes responses and detects received bytes that belong to no complete response.
 *
 * <p>Fires {@link #READ_DECODED} after the messages of each read, also if the read completed no message. The end of a
 * body without a length is decoded at the end of the connection, whatever its cause; {@link #isAborted} tells whether
 * the server has closed its side. Confined to the I/O thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    /** The user event that follows the messages of one read. */
    static final Object READ_DECODED = new Object();

    static final int MAX_LINE_BYTES = 8_192;
    static final int MAX_HEADER_BYTES = 65_536;

    private @Nullable HttpMethod requestMethod;
    private long receivedBytes;
    private boolean inputEnded;
    private boolean aborted;

    ResponseDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    /** Sets the method of the request whose response is decoded next. */
    void setRequestMethod(HttpMethod method) {
        requestMethod = method;
    }

    /** Checks whether bytes are buffered that do not form a complete message. */
    boolean hasUnparsedBytes() {
        return actualReadableBytes() > 0;
    }

    /** Gets the number of bytes received on the connection. */
    long getReceivedBytes() {
        return receivedBytes;
    }

    /** Checks whether the server has closed its side of the connection in order. */
    boolean isInputEnded() {
        return inputEnded;
    }

    /** Checks whether the connection ended without the regular end of the server's side, as by a reset. */
    boolean isAborted() {
        return aborted;
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) throws Exception {
        inputEnded |= event instanceof ChannelInputShutdownEvent;
        super.userEventTriggered(context, event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) throws Exception {
        aborted = !inputEnded;
        super.channelInactive(context);
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) throws Exception {
        if (message instanceof ByteBuf bytes) {
            receivedBytes += bytes.readableBytes();
        }
        super.channelRead(context, message);
        context.fireUserEventTriggered(READ_DECODED);
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(requestMethod) || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the response has both a Content-Length and a chunked body");
    }
}
