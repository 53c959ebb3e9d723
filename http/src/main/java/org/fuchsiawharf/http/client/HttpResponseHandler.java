package org.fuchsiawharf.http.client;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.util.HeaderMap;

/**
 * Receives the response to one call.
 *
 * <p>Called on the call's I/O thread; implementations must not block.
 */
public interface HttpResponseHandler {
    /**
     * Handles the status code and header fields of the response.
     *
     * @param status the status code
     * @param headers the header fields, not null
     */
    void onHead(int status, HeaderMap headers);

    /**
     * Handles a part of the body.
     *
     * @param data the part, not null, valid only until this method returns
     */
    void onData(ByteBuffer data);

    /** Handles the end of the response. */
    void onEnd();

    /**
     * Handles the failure of the call, after which no further part of the response arrives.
     *
     * @param possiblySent whether any byte of the request may have been sent
     * @param cause the failure of the connection, not null
     */
    void onFailure(boolean possiblySent, IOException cause);
}
