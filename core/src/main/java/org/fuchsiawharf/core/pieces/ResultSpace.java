package org.fuchsiawharf.core.pieces;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * Tracks the space that the results of one pool take at each endpoint of a service.
 *
 * <p>A result takes space from the sending of its call until its producer has freed it or it has expired.
 *
 * <p>Confined to the decision loop.
 */
final class ResultSpace {
    private record HeldResult(String endpoint, long bytes, long expiresNanos) {}

    private final Map<String, HeldResult> heldByHandle = new LinkedHashMap<>();
    private final Map<String, Long> usedBytesByEndpoint = new LinkedHashMap<>();

    /** Gets the bytes in use at an endpoint, and removes expired results. */
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

    /** Reserves space for calls in flight; a negative number cancels a reservation. */
    void addUsed(String endpoint, long bytes) {
        usedBytesByEndpoint.merge(endpoint, bytes, Long::sum);
    }

    /** Assigns reserved space to a result. */
    void hold(String handle, String endpoint, long bytes, long expiresNanos) {
        HeldResult previous = heldByHandle.put(handle, new HeldResult(endpoint, bytes, expiresNanos));
        if (previous != null) {
            addUsed(previous.endpoint(), -previous.bytes());
        }
    }

    /** Gets the name of the endpoint that produced a result, null if unknown. */
    @Nullable
    String getProducer(String handle) {
        HeldResult held = heldByHandle.get(handle);
        return held == null ? null : held.endpoint();
    }

    /** Frees the space of a result. */
    void free(String handle) {
        HeldResult held = heldByHandle.remove(handle);
        if (held != null) {
            addUsed(held.endpoint(), -held.bytes());
        }
    }
}
