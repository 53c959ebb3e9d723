package org.fuchsiawharf.standin;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.model.Endpoint;

/**
 * All simulated endpoints of a deployment in one process, with the simulated platform and the ledger.
 *
 * <p>Thread-safe.
 */
public final class StandinFleet implements AutoCloseable {
    private static final long DIRECTORY_LAG_MILLIS = 2_000;

    private final StandinRuntime runtime = new StandinRuntime();
    private final Ledger ledger = new Ledger();
    private final Map<String, EndpointStandin> endpoints = new LinkedHashMap<>();
    private final PlatformStandin platform;

    /**
     * Starts a fleet.
     *
     * @param zones the availability zones, not null
     * @param profiles the profiles of the services, not null
     * @param platformPort the TCP port of the platform, 0 for any free port
     * @param firstPort the TCP port of the first endpoint, the others follow; 0 for any free ports
     * @param seed the random seed of jitter and event loss
     */
    public StandinFleet(List<String> zones, List<ServiceProfile> profiles, int platformPort, int firstPort, long seed) {
        int index = 0;
        for (ServiceProfile profile : profiles) {
            for (int i = 0; i < profile.workers(); i++) {
                String name = profile.service() + "-" + (i + 1);
                String zone = zones.get(i % zones.size());
                int port = firstPort == 0 ? 0 : firstPort + index;
                endpoints.put(name, new EndpointStandin(runtime, name, zone, port, profile, ledger, seed + index));
                index++;
            }
        }
        platform = new PlatformStandin(runtime, platformPort, DIRECTORY_LAG_MILLIS);
        platform.setDirectory(getEndpoints(), List.of());
    }

    /**
     * Gets the platform.
     *
     * @return the platform, never null
     */
    public PlatformStandin getPlatform() {
        return platform;
    }

    /**
     * Gets the ledger of all endpoints.
     *
     * @return the ledger, never null
     */
    public Ledger getLedger() {
        return ledger;
    }

    /**
     * Gets an endpoint.
     *
     * @param name the endpoint's name, not null
     * @return the endpoint, never null
     * @throws ArgumentException if there is no endpoint of this name
     */
    public EndpointStandin getEndpoint(String name) {
        EndpointStandin endpoint = endpoints.get(name);
        if (endpoint == null) {
            throw new ArgumentException("endpoint", name, "one of " + endpoints.keySet());
        }
        return endpoint;
    }

    /**
     * Stops an endpoint abruptly and removes the endpoint from the directory after the lag.
     *
     * @param name the endpoint's name, not null
     */
    public void kill(String name) {
        EndpointStandin killed = getEndpoint(name);
        killed.close();
        List<Endpoint> live = new ArrayList<>(getEndpoints());
        live.remove(killed.getEndpoint());
        platform.setDirectoryAfterLag(live, List.of());
    }

    @Override
    public void close() {
        platform.close();
        endpoints.values().forEach(EndpointStandin::close);
        runtime.close();
    }

    /**
     * Gets all endpoints, including stopped ones.
     *
     * @return the endpoints, never null
     */
    public List<Endpoint> getEndpoints() {
        return endpoints.values().stream().map(EndpointStandin::getEndpoint).toList();
    }
}
