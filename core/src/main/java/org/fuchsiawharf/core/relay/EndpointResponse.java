package org.fuchsiawharf.core.relay;

/**
 * The complete response of an endpoint; its header fields and body are kept by the adapter.
 *
 * <p>Immutable and thread-safe.
 */
public interface EndpointResponse {
    /**
     * Gets the status code.
     *
     * @return the HTTP status code
     */
    int getStatus();
}
