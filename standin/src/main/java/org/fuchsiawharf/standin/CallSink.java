package org.fuchsiawharf.standin;

/**
 * Where a model sends what it computes for one call.
 *
 * <p>Implementations are thread-safe and return at once.
 */
interface CallSink {
    /**
     * Refuses the call before any work.
     *
     * @param leaving whether the endpoint is leaving, else overloaded
     */
    void refuse(boolean leaving);

    /** Says that the run to rejoin is not known. */
    void gone();

    /**
     * Sends a token.
     *
     * @param index the token's number
     */
    void token(long index);

    /**
     * Ends the call.
     *
     * @param tokens the number of tokens in all, 0 if the answer is no stream
     */
    void finish(long tokens);
}
