package org.fuchsiawharf.core.port;

/**
 * Carries the answer of one request to its caller.
 *
 * <p>{@link #finish} is called exactly once, and nothing after it. Implementations return at once and never
 * throw; they are called on the loop's thread.
 */
public interface CallerPort {
    /**
     * Passes on one token of the last stage, in order and without repeats.
     *
     * @param offset the token's number, from 0
     * @param text the token, not null
     */
    void token(long offset, String text);

    /**
     * Ends the request.
     *
     * @param result the outcome, not null
     */
    void finish(RequestResult result);
}
