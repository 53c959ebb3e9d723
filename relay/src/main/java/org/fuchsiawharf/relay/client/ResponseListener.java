package org.fuchsiawharf.relay.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * Receives the response to a call.
 *
 * <p>Called on the I/O thread. Exactly one of {@link #onComplete} and {@link #onFailed} is called, exactly once, unless
 * the call is cancelled.
 */
public interface ResponseListener {
    /**
     * Called with the head of the response.
     *
     * @param status the HTTP status code
     * @param fields the header fields, not null
     */
    void onHead(int status, HttpHeaders fields);

    /**
     * Called with each part of the body.
     *
     * @param data the bytes, to be retained if used after this call, not null
     */
    void onData(ByteBuf data);

    /** Called after the parts of the body that one read has returned, unless the response has ended. */
    default void onReadEnd() {}

    /** Called when the response is complete. */
    void onComplete();

    /**
     * Called when the call ended without a complete response.
     *
     * @param failure the kind of failure, not null
     * @param detail the observed error, for logs, not null
     */
    void onFailed(CallFailure failure, String detail);
}
