package org.fuchsiawharf.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * One whole version of the routing configuration.
 *
 * <p>Built once and adopted whole, so that no request is decided by parts of two versions. Immutable and
 * thread-safe.
 */
public final class RoutingConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceSpec> services;
    private final Map<String, Workspace> workspacesByKey;
    private final ClientLimits limits;

    private RoutingConfig(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceSpec> services,
            Map<String, Workspace> workspacesByKey,
            ClientLimits limits) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.workspacesByKey = workspacesByKey;
        this.limits = limits;
    }

    /**
     * Builds a version.
     *
     * @param version the version's number, which only rises
     * @param routes the routes, not null
     * @param services the services, not null
     * @param workspacesByKey the workspace of each key, not null
     * @param limits the callers' limits, not null
     * @return the configuration, never null
     */
    public static RoutingConfig of(
            long version,
            List<Route> routes,
            List<ServiceSpec> services,
            Map<String, Workspace> workspacesByKey,
            ClientLimits limits) {
        Map<String, List<Route>> byHost = new HashMap<>();
        for (Route route : routes) {
            byHost.computeIfAbsent(route.host(), h -> new ArrayList<>()).add(route);
        }
        byHost.values()
                .forEach(list -> list.sort(
                        Comparator.comparingInt((Route route) -> route.prefix().length())
                                .reversed()));
        Map<String, ServiceSpec> byName = new HashMap<>();
        services.forEach(service -> byName.put(service.name(), service));
        return new RoutingConfig(version, byHost, byName, Map.copyOf(workspacesByKey), limits);
    }

    /**
     * Gets the version's number.
     *
     * @return the number
     */
    public long getVersion() {
        return version;
    }

    /**
     * Gets the callers' limits.
     *
     * @return the limits, never null
     */
    public ClientLimits getLimits() {
        return limits;
    }

    /**
     * Gets the services.
     *
     * @return the services by name, never null
     */
    public Map<String, ServiceSpec> getServices() {
        return services;
    }

    /**
     * Finds the route with the longest prefix that begins a path.
     *
     * @param host the host without a port, in any case, not null
     * @param path the path without the query, not null
     * @return the route, null if none matches
     */
    public @Nullable Route match(String host, String path) {
        for (Route route : routesByHost.getOrDefault(host.toLowerCase(Locale.ROOT), List.of())) {
            if (path.startsWith(route.prefix())) {
                return route;
            }
        }
        return null;
    }

    /**
     * Finds the workspace that holds a key.
     *
     * @param key the key, null if the request has none
     * @return the workspace, null if no workspace holds the key
     */
    public @Nullable Workspace findWorkspace(@Nullable String key) {
        return key == null ? null : workspacesByKey.get(key);
    }

    /**
     * Tells whether requests of closed routes need a key.
     *
     * @return true if any workspace is configured
     */
    public boolean hasWorkspaces() {
        return !workspacesByKey.isEmpty();
    }
}
