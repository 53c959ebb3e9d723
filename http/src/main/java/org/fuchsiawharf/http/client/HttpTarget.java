package org.fuchsiawharf.http.client;

import java.net.URI;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.model.Endpoint;

/**
 * A host and port that speaks HTTP/1.1.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host an IP number
 * @param port a TCP port
 */
public record HttpTarget(String host, int port) {
    /**
     * Creates the target of an endpoint.
     *
     * @param endpoint the endpoint, not null
     * @return the target, never null
     */
    public static HttpTarget of(Endpoint endpoint) {
        return new HttpTarget(endpoint.host(), endpoint.port());
    }

    /**
     * Parses a target.
     *
     * @param text text such as {@code 127.0.0.1:8080}, not null
     * @return the target, never null
     * @throws ArgumentException if the text is malformed
     */
    public static HttpTarget parse(String text) {
        int colon = text.lastIndexOf(':');
        try {
            int port = Integer.parseInt(text.substring(colon + 1));
            if (colon > 0 && port > 0 && port <= 65_535) {
                return new HttpTarget(text.substring(0, colon), port);
            }
        } catch (NumberFormatException e) {
            throw new ArgumentException("address", text, "host:port");
        }
        throw new ArgumentException("address", text, "host:port");
    }

    /**
     * Gets the address as a URI.
     *
     * @return the URI, never null
     */
    URI toUri() {
        return URI.create("http://" + host + ":" + port);
    }

    @Override
    public String toString() {
        return host + ":" + port;
    }
}
