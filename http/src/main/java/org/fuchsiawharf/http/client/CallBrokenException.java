package org.fuchsiawharf.http.client;

import java.io.IOException;

/**
 * Says that a call has no complete response, and whether its request may have left.
 *
 * <p>Its fields never change.
 */
public final class CallBrokenException extends IOException {
    private static final long serialVersionUID = 1L;

    private final boolean sent;

    /**
     * Creates an error.
     *
     * @param sent whether bytes of the request may have left
     * @param cause what happened, not null
     */
    public CallBrokenException(boolean sent, IOException cause) {
        super(cause.getMessage(), cause);
        this.sent = sent;
    }

    /**
     * Tells whether the request may have left.
     *
     * @return false if it is proved that no byte of it did
     */
    public boolean isSent() {
        return sent;
    }
}
