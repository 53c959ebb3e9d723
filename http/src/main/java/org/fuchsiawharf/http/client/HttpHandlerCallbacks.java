package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/**
 * Hears of the response to one call.
 *
 * <p>Called on the call's I/O thread; implementations return at once.
 */
public interface HttpHandlerCallbacks {
    /**
     * The response's head has arrived.
     *
     * @param status the status code
     * @param headers the header fields, not null
     */
    void onHead(int status, HeaderMap headers);

    /**
     * A part of the body has arrived.
     *
     * @param data the part, not null, valid only during the call
     */
    void onData(ByteBuffer data);

    /** The response is complete. */
    void onEnd();

    /**
     * There will be no complete response.
     *
     * @param sent whether bytes of the request may have left
     * @param cause what happened, not null
     */
    void onFailure(boolean sent, IOException cause);
}
