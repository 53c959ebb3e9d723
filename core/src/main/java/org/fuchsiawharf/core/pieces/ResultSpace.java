package org.fuchsiawharf.core.pieces;

import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;

import org.jspecify.annotations.Nullable;

/**
 * Tracks the space that the results of one pool take at each endpoint of a service.
 *
 * <p>A result takes space from the sending of its call until its producer has freed it or it has expired.
 *
 * <p>Confined to the decision loop.
 */
final class ResultSpace {
    private record HeldResult(String handle, String endpoint, long bytes, long expiresNanos) {}

    private final Map<String, HeldResult> heldByHandle = new HashMap<>();
    private final TreeSet<HeldResult> byExpiry =
            new TreeSet<>(Comparator.comparingLong(HeldResult::expiresNanos).thenComparing(HeldResult::handle));
    private final Map<String, Long> usedBytesByEndpoint = new HashMap<>();

    /** Gets the bytes in use at an endpoint, and removes expired results. */
    long getUsedBytes(String endpoint, long now) {
        while (!byExpiry.isEmpty() && byExpiry.first().expiresNanos() <= now) {
            free(byExpiry.first().handle());
        }
        return usedBytesByEndpoint.getOrDefault(endpoint, 0L);
    }

    /** Reserves space for calls in flight; a negative number cancels a reservation. */
    void addUsed(String endpoint, long bytes) {
        usedBytesByEndpoint.merge(endpoint, bytes, Long::sum);
    }

    /** Assigns reserved space to a result. */
    void hold(String handle, String endpoint, long bytes, long expiresNanos) {
        free(handle);
        HeldResult held = new HeldResult(handle, endpoint, bytes, expiresNanos);
        heldByHandle.put(handle, held);
        byExpiry.add(held);
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
            byExpiry.remove(held);
            addUsed(held.endpoint(), -held.bytes());
        }
    }
}
