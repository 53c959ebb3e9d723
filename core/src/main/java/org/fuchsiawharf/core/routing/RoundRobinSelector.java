package org.fuchsiawharf.core.routing;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Selects the endpoints of a service in turn; a baseline for comparisons.
 *
 * <p>Confined to the decision loop.
 */
public final class RoundRobinSelector implements EndpointSelector {
    private final Map<String, Integer> nextIndex = new HashMap<>();

    @Override
    public @Nullable EndpointState select(
            ServicePool pool, long prefixKey, @Nullable EndpointState avoid, long nowNanos) {
        List<EndpointState> endpoints = pool.getEndpoints();
        int start = nextIndex.merge(pool.getService(), 1, Integer::sum);
        for (int i = 0; i < endpoints.size(); i++) {
            EndpointState state = endpoints.get(Math.floorMod(start + i, endpoints.size()));
            if (state.isAvailable() && (state != avoid || endpoints.size() == 1)) {
                return state;
            }
        }
        return null;
    }
}
