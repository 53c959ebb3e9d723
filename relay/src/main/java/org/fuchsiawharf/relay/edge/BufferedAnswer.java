package org.fuchsiawharf.relay.edge;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.relay.EndpointAnswer;

/**
 * An endpoint's whole answer in memory.
 *
 * <p>The body is taken once. Otherwise immutable and thread-safe.
 */
final class BufferedAnswer implements EndpointAnswer {
    private final int status;
    private final HttpHeaders fields;
    private final ByteBuf body;

    BufferedAnswer(int status, HttpHeaders fields, ByteBuf body) {
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
