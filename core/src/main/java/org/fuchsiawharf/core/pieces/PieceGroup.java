package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.Set;
import java.util.function.Predicate;

/**
 * What decides whether and how long a queued piece waits for an endpoint, apart from its urgency.
 *
 * <p>Pieces of one group are sent in the same order to every endpoint. There are few groups: sizes and zones come from
 * the configuration, and few pieces have failed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param zone the availability zone in which the result is needed, empty for any
 * @param maxWaitNanos the wait before the piece is sent to another zone that endpoints serve, in nanoseconds
 * @param resultBytes the approximate size of the result, in bytes
 * @param failedEndpoints the names of the endpoints at which the piece failed
 */
record PieceGroup(String zone, long maxWaitNanos, long resultBytes, Set<String> failedEndpoints) {
    /** Copies the set. */
    PieceGroup {
        failedEndpoints = Set.copyOf(failedEndpoints);
    }

    static PieceGroup of(PieceTask task) {
        PieceTerms terms = task.order.terms();
        return new PieceGroup(terms.zone(), terms.crossZoneWaitNanos(), terms.resultBytes(), task.failedEndpoints);
    }

    /** Checks whether the pieces may be sent to an endpoint: they have not failed there, or at all that are usable. */
    boolean isAllowedAt(String endpoint, Collection<String> usableEndpoints) {
        return !failedEndpoints.contains(endpoint) || failedEndpoints.containsAll(usableEndpoints);
    }

    /** Gets the wait before the pieces are sent to an endpoint in the given zone, in nanoseconds. */
    long crossZoneWaitNanos(String endpointZone, Predicate<String> isZoneServed) {
        return zone.isEmpty() || zone.equals(endpointZone) || !isZoneServed.test(zone) ? 0 : maxWaitNanos;
    }
}
