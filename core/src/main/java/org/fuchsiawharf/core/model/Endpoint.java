package org.fuchsiawharf.core.model;

import org.fuchsiawharf.core.util.Arguments;

/**
 * One process that runs a stage or a service outside pipelines.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the endpoint's name, unique in the deployment
 * @param service the name of the service that the endpoint belongs to
 * @param zone the availability zone of the endpoint
 * @param host the IP address, not null
 * @param port the TCP port, 1 to 65,535
 */
public record Endpoint(String name, String service, String zone, String host, int port) {
    /**
     * Checks the names, the host and the port.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if a component is out of bounds
     */
    public Endpoint {
        Arguments.name(name, "endpoint.name");
        Arguments.name(service, "endpoint.service of " + name);
        Arguments.name(zone, "endpoint.zone of " + name);
        Arguments.notNull(host, "endpoint.host of " + name);
        Arguments.between(port, 1, 65_535, "endpoint.port of " + name);
    }
}
