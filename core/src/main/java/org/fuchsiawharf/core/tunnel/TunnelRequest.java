package org.fuchsiawharf.core.tunnel;

import org.fuchsiawharf.core.util.Arguments;

/**
 * The request of an instance for a connection to an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param sender the name of the instance that asks
 * @param endpoint the name of the endpoint
 * @param requestId the id of the caller's request, for logs; empty for a call that belongs to several requests
 */
public record TunnelRequest(String sender, String endpoint, String requestId) {
    /** Checks the names. */
    public TunnelRequest {
        Arguments.notNull(sender, "tunnel.sender");
        Arguments.notNull(endpoint, "tunnel.endpoint");
        Arguments.notNull(requestId, "tunnel.requestId");
    }
}
