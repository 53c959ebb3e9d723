package org.fuchsiawharf.core.model;

import org.fuchsiawharf.core.util.Arguments;

/**
 * One process that runs a stage or a plain service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the endpoint's name, unique in the deployment
 * @param service the service it belongs to
 * @param zone the availability zone it runs in
 * @param host its IP number
 * @param port its TCP port, 1 to 65,535
 */
public record Endpoint(String name, String service, String zone, String host, int port) {
    /**
     * Checks names and port.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if one is out of bounds
     */
    public Endpoint {
        Arguments.name(name, "endpoint.name");
        Arguments.name(service, "endpoint.service of " + name);
        Arguments.name(zone, "endpoint.zone of " + name);
        Arguments.notNull(host, "endpoint.host of " + name);
        Arguments.between(port, 1, 65_535, "endpoint.port of " + name);
    }
}
