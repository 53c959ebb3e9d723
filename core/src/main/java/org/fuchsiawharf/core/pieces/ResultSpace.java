package org.fuchsiawharf.core.pieces;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The space for results at each endpoint of a service, as far as one pool filled it.
 *
 * <p>A result takes space from the sending of its call until its maker has freed it or its time has passed. Confined to
 * the decision loop.
 */
final class ResultSpace {
    private record Held(String endpoint, long bytes, long expiresNanos) {}

    private final Map<String, Held> heldByHandle = new LinkedHashMap<>();
    private final Map<String, Long> usedByEndpoint = new LinkedHashMap<>();

    /** Gets the bytes in use at an endpoint. */
    long getUsed(String endpoint, long now) {
        for (Iterator<Held> i = heldByHandle.values().iterator(); i.hasNext(); ) {
            Held held = i.next();
            if (held.expiresNanos() <= now) {
                i.remove();
                add(held.endpoint(), -held.bytes());
            }
        }
        return usedByEndpoint.getOrDefault(endpoint, 0L);
    }

    /** Reserves, or with a negative number gives back, space for calls under way. */
    void add(String endpoint, long bytes) {
        usedByEndpoint.merge(endpoint, bytes, Long::sum);
    }

    /** Turns reserved space into the space of a result. */
    void hold(String handle, String endpoint, long bytes, long expiresNanos) {
        Held before = heldByHandle.put(handle, new Held(endpoint, bytes, expiresNanos));
        if (before != null) {
            add(before.endpoint(), -before.bytes());
        }
    }

    /** Gets the name of a result's maker, null if the pool does not know it. */
    @Nullable
    String getMaker(String handle) {
        Held held = heldByHandle.get(handle);
        return held == null ? null : held.endpoint();
    }

    /** Frees a result's space. */
    void free(String handle) {
        Held held = heldByHandle.remove(handle);
        if (held != null) {
            add(held.endpoint(), -held.bytes());
        }
    }
}
