package org.fuchsiawharf.relay.client;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponseDecoder;
import org.jspecify.annotations.Nullable;

/**
 * Decodes responses, and tells whether bytes are left that belong to none.
 *
 * <p>Confined to the I/O thread.
 */
final class ResponseDecoder extends HttpResponseDecoder {
    private static final int MAX_LINE_BYTES = 8_192;
    private static final int MAX_HEADER_BYTES = 65_536;

    private @Nullable HttpMethod method;

    ResponseDecoder() {
        super(new HttpDecoderConfig().setMaxInitialLineLength(MAX_LINE_BYTES).setMaxHeaderSize(MAX_HEADER_BYTES));
    }

    /** Sets the method of the request whose response comes next. */
    void expect(HttpMethod next) {
        method = next;
    }

    /** Tells whether bytes were received that are no whole message. */
    boolean hasLeftover() {
        return actualReadableBytes() > 0;
    }

    @Override
    protected boolean isContentAlwaysEmpty(HttpMessage message) {
        return HttpMethod.HEAD.equals(method) || super.isContentAlwaysEmpty(message);
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the response has both a length and chunks");
    }
}
