package org.fuchsiawharf.relay.client;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Decodes responses and detects received bytes that belong to no complete response.
 *
 * <p>Confined to the I/O thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;

    private @Nullable HttpMethod requestMethod;

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

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(requestMethod) || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the response has both a Content-Length and a chunked body");
    }
}
