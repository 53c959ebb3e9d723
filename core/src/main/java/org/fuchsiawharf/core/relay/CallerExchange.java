package org.fuchsiawharf.core.relay;

/**
 * Answers one caller's request.
 *
 * <p>Called on the decision loop, at most one of its methods and that once. Whatever was sent of a stream before
 * stays sent: a refusal after that breaks the answer off.
 */
public interface CallerExchange {
    /**
     * Answers in place of an endpoint.
     *
     * @param refusal the answer, not null
     */
    void refuse(Refusal refusal);

    /**
     * Passes an endpoint's whole answer on.
     *
     * @param answer the answer, not null
     */
    void relay(EndpointAnswer answer);

    /** Ends a stream whose last event has been passed on. */
    void finishStream();

    /** Breaks the answer off, so that the caller sees that it is not whole. */
    void breakOff();
}
