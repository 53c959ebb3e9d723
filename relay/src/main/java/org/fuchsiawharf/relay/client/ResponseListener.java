package org.fuchsiawharf.relay.client;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.port.CallFailure;

/**
 * Hears the response to a call.
 *
 * <p>Called on the I/O thread. Exactly one of the last two methods is called, and that once, unless the call is
 * cancelled.
 */
public interface ResponseListener {
    /**
     * Takes in the head.
     *
     * @param status the HTTP status
     * @param fields the header fields, not null
     */
    void onHead(int status, HttpHeaders fields);

    /**
     * Takes in bytes of the body.
     *
     * @param data the bytes, which are not to be kept without retaining them, not null
     */
    void onData(ByteBuf data);

    /** Learns that the response is whole. */
    void onWhole();

    /**
     * Learns that no whole response will come.
     *
     * @param failure why, not null
     * @param detail what was seen, for logs, not null
     */
    void onFailed(CallFailure failure, String detail);
}
