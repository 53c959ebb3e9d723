package org.fuchsiawharf.core.relay;

/**
 * An endpoint's whole answer, whose fields and body stay with the adapter.
 *
 * <p>Immutable and thread-safe.
 */
public interface EndpointAnswer {
    /**
     * Gets the status.
     *
     * @return the HTTP status code
     */
    int getStatus();
}
