package org.fuchsiawharf.http.client;

import java.io.IOException;

/**
 * Thrown when a call ends without a complete response.
 *
 * <p>Its own fields are immutable.
 */
public final class CallBrokenException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean possiblySent;

    /**
     * Creates an exception.
     *
     * @param possiblySent whether any byte of the request may have been sent
     * @param cause the failure of the connection, not null
     */
    public CallBrokenException(boolean possiblySent, IOException cause) {
        super(cause.getMessage(), cause);
        this.possiblySent = possiblySent;
    }

    /**
     * Checks whether any byte of the request may have been sent.
     *
     * @return false only if no byte can have been sent
     */
    public boolean isPossiblySent() {
        return possiblySent;
    }
}
