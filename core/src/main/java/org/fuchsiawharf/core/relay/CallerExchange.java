package org.fuchsiawharf.core.relay;

/**
 * Responds to one caller's request.
 *
 * <p>At most one of the methods is called, once, on the decision loop. Events of a stream that were already sent
 * cannot be revoked: a refusal after them aborts the response.
 */
public interface CallerExchange {
    /**
     * Sends a response of the instance in place of an endpoint's response.
     *
     * @param refusal the response, not null
     */
    void refuse(Refusal refusal);

    /**
     * Forwards the complete response of an endpoint.
     *
     * @param response the response, not null
     */
    void relay(EndpointResponse response);

    /** Ends a stream whose last event has been forwarded. */
    void finishStream();

    /** Aborts the response, so that the caller detects that it is incomplete. */
    void abort();
}
