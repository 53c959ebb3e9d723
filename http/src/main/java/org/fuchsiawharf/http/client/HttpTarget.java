package org.fuchsiawharf.http.client;

import java.net.URI;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.model.Endpoint;

/**
 * The address of an HTTP/1.1 server.
 *
 * <p>Immutable and thread-safe.
 *
 * @param host the IP address
 * @param port the TCP port
 */
public record HttpTarget(String host, int port) {
    /**
     * Gets the address of an endpoint.
     *
     * @param endpoint the endpoint, not null
     * @return the address, never null
     */
    public static HttpTarget of(Endpoint endpoint) {
        return new HttpTarget(endpoint.host(), endpoint.port());
    }

    /**
     * Parses an address.
     *
     * @param text text such as {@code 127.0.0.1:8080}, not null
     * @return the address, never null
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
     * Gets this address as a URI.
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
