package org.fuchsiawharf.core.route;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.jspecify.annotations.Nullable;

/**
 * One complete version of the routing configuration.
 *
 * <p>A version is built once and applied as a whole, so that no request is routed by a mix of two versions.
 * Immutable and thread-safe.
 */
public final class RoutingConfig {
    private final long version;
    private final Map<String, List<Route>> routesByHost;
    private final Map<String, ServiceSpec> services;
    private final WorkspaceKeys keys;
    private final CallerLimits limits;

    private RoutingConfig(
            long version,
            Map<String, List<Route>> routesByHost,
            Map<String, ServiceSpec> services,
            WorkspaceKeys keys,
            CallerLimits limits) {
        this.version = version;
        this.routesByHost = routesByHost;
        this.services = services;
        this.keys = keys;
        this.limits = limits;
    }

    /**
     * Creates a configuration.
     *
     * @param version the version number, which increases with every change
     * @param routes the routes, not null
     * @param services the services, not null
     * @param keys the keys of the workspaces, not null
     * @param limits the limits for callers, not null
     * @return the configuration, never null
     */
    public static RoutingConfig of(
            long version, List<Route> routes, List<ServiceSpec> services, WorkspaceKeys keys, CallerLimits limits) {
        Map<String, List<Route>> routesByHost = new HashMap<>();
        for (Route route : routes) {
            routesByHost
                    .computeIfAbsent(route.host(), host -> new ArrayList<>())
                    .add(route);
        }
        routesByHost
                .values()
                .forEach(hostRoutes -> hostRoutes.sort(
                        Comparator.comparingInt((Route route) -> route.prefix().length())
                                .reversed()));
        Map<String, ServiceSpec> servicesByName = new HashMap<>();
        services.forEach(service -> servicesByName.put(service.name(), service));
        return new RoutingConfig(version, routesByHost, servicesByName, keys, limits);
    }

    /**
     * Gets the version number.
     *
     * @return the version number
     */
    public long getVersion() {
        return version;
    }

    /**
     * Gets the limits for callers.
     *
     * @return the limits, never null
     */
    public CallerLimits getLimits() {
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
     * Gets the names of all routes.
     *
     * @return the names, never null
     */
    public Set<String> getRouteNames() {
        return routesByHost.values().stream()
                .flatMap(List::stream)
                .map(Route::name)
                .collect(Collectors.toUnmodifiableSet());
    }

    /**
     * Finds the route with the longest prefix that matches a path.
     *
     * @param host the host without a port, case-insensitive, not null
     * @param path the path without the query, not null
     * @return the route, null if no route matches
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
     * Finds the workspace to which a key belongs.
     *
     * @param key the key, null if the request has no key
     * @return the workspace, null if the key is null or belongs to no workspace
     */
    public @Nullable Workspace findWorkspace(@Nullable String key) {
        return keys.find(key);
    }

    /**
     * Checks whether routes that are not open require a key.
     *
     * @return true if the deployment has workspaces, whether they hold keys or not
     */
    public boolean requiresKey() {
        return keys.required();
    }
}
