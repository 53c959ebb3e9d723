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
    private record HeldResult(String endpoint, long bytes, long expiresNanos) {}

    private final Map<String, HeldResult> heldByHandle = new LinkedHashMap<>();
    private final Map<String, Long> usedBytesByEndpoint = new LinkedHashMap<>();

    /** Gets the bytes in use at an endpoint. */
    long getUsedBytes(String endpoint, long now) {
        for (Iterator<HeldResult> i = heldByHandle.values().iterator(); i.hasNext(); ) {
            HeldResult held = i.next();
            if (held.expiresNanos() <= now) {
                i.remove();
                addUsed(held.endpoint(), -held.bytes());
            }
        }
        return usedBytesByEndpoint.getOrDefault(endpoint, 0L);
    }

    /** Reserves, or with a negative number gives back, space for calls under way. */
    void addUsed(String endpoint, long bytes) {
        usedBytesByEndpoint.merge(endpoint, bytes, Long::sum);
    }

    /** Turns reserved space into the space of a result. */
    void hold(String handle, String endpoint, long bytes, long expiresNanos) {
        HeldResult previous = heldByHandle.put(handle, new HeldResult(endpoint, bytes, expiresNanos));
        if (previous != null) {
            addUsed(previous.endpoint(), -previous.bytes());
        }
    }

    /** Gets the name of a result's maker, null if the pool does not know it. */
    @Nullable
    String getProducer(String handle) {
        HeldResult held = heldByHandle.get(handle);
        return held == null ? null : held.endpoint();
    }

    /** Frees a result's space. */
    void free(String handle) {
        HeldResult held = heldByHandle.remove(handle);
        if (held != null) {
            addUsed(held.endpoint(), -held.bytes());
        }
    }
}
