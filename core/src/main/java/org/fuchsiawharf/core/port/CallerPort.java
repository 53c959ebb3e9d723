package org.fuchsiawharf.core.port;

/**
 * Sends the response of one request to its caller.
 *
 * <p>{@link #finish} is called exactly once and is the last call. Implementations must not block or throw. Called
 * on the decision loop's thread.
 */
public interface CallerPort {
    /**
     * Forwards one token of the last stage, in order and without duplicates.
     *
     * @param offset the position of the token in the stream, from 0
     * @param text the text of the token, not null
     */
    void sendToken(long offset, String text);

    /**
     * Completes the request.
     *
     * @param result the outcome, not null
     */
    void finish(RequestResult result);
}
