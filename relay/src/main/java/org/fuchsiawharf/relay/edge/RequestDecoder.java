package org.fuchsiawharf.relay.edge;

import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpRequestDecoder;

/**
 * Decodes callers' requests and rejects those whose message length is ambiguous.
 *
 * <p>Confined to the I/O thread.
 */
final class RequestDecoder extends HttpRequestDecoder {
    private static final int MAX_LINE_BYTES = 16_384;

    RequestDecoder(int maxHeaderBytes) {
        super(new HttpDecoderConfig()
                .setMaxInitialLineLength(MAX_LINE_BYTES)
                .setMaxHeaderSize(maxHeaderBytes)
                .setStrictLineParsing(true));
    }

    @Override
    protected void handleTransferEncodingChunkedWithContentLength(HttpMessage message) {
        throw new IllegalArgumentException("the request has both a length and chunks");
    }
}
