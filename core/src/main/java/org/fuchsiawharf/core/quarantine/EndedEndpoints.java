package org.fuchsiawharf.core.quarantine;

import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The endpoints that are known to have ended, by name and incarnation.
 *
 * <p>The number of endpoints that are kept is bounded. Confined to the decision loop.
 */
final class EndedEndpoints {
    private static final int MAX_ENDPOINTS = 1_024;

    private final Map<String, Long> endedNanos = new LinkedHashMap<>();
    private final Map<String, Long> replacedNanos = new LinkedHashMap<>();

    /** Adds an endpoint; returns true if it was not known to have ended. */
    boolean add(String endpoint, long nanos) {
        boolean added = endedNanos.putIfAbsent(endpoint, nanos) == null;
        removeOldest(endedNanos, MAX_ENDPOINTS);
        return added;
    }

    /** Records that an endpoint has restarted under its name, after which responses under the name are not its own. */
    void onReplaced(String endpoint, long nanos) {
        replacedNanos.put(endpoint, nanos);
        removeOldest(replacedNanos, MAX_ENDPOINTS);
    }

    /** Forgets the end of an endpoint that responds, unless it has been replaced. */
    void onReachable(String endpoint) {
        if (!replacedNanos.containsKey(endpoint)) {
            endedNanos.remove(endpoint);
        }
    }

    boolean contains(String endpoint) {
        return endedNanos.containsKey(endpoint);
    }

    /** Gets the time at which the end of an endpoint became known, null if it is not known to have ended. */
    @Nullable
    Long getEndedNanos(String endpoint) {
        return endedNanos.get(endpoint);
    }

    static <K> void removeOldest(Map<K, Long> map, int maxSize) {
        while (map.size() > maxSize) {
            map.remove(map.keySet().iterator().next());
        }
    }
}
