package org.fuchsiawharf.standin;

/**
 * Receiver of the outcome that an endpoint model computes for one call.
 *
 * <p>Implementations are thread-safe and do not block.
 */
interface CallSink {
    /**
     * Rejects the call before any work.
     *
     * @param leaving true if the endpoint is leaving, false if it is overloaded
     */
    void reject(boolean leaving);

    /** Rejects a reconnect because the run to resume does not exist or has expired. */
    void rejectUnknownRun();

    /**
     * Sends a token.
     *
     * @param index the zero-based index of the token
     */
    void sendToken(long index);

    /**
     * Completes the call.
     *
     * @param tokens the total number of tokens, 0 if the response is not a stream
     */
    void complete(long tokens);
}
