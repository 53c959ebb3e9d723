package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.relay.EndpointResponse;

/**
 * The complete response of an endpoint, held in memory.
 *
 * <p>The receiver of the body releases it. Otherwise immutable and thread-safe.
 */
final class BufferedResponse implements EndpointResponse {
    private final int status;
    private final HttpHeaders fields;
    private final ByteBuf body;

    BufferedResponse(int status, HttpHeaders fields, ByteBuf body) {
        this.status = status;
        this.fields = fields;
        this.body = body;
    }

    @Override
    public int getStatus() {
        return status;
    }

    HttpHeaders getFields() {
        return fields;
    }

    ByteBuf takeBody() {
        return body;
    }
}
