package org.fuchsiawharf.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Assigns prefixes to endpoints by consistent hashing.
 *
 * <p>All instances that know the same endpoints assign a prefix to the same endpoint without communication. The
 * removal of an endpoint reassigns only its own prefixes. Immutable and thread-safe.
 */
final class HashRing {
    private static final int POINTS_PER_ENDPOINT = 32;

    private final long[] points;
    private final EndpointState[] endpoints;

    private HashRing(long[] points, EndpointState[] endpoints) {
        this.points = points;
        this.endpoints = endpoints;
    }

    /**
     * Builds a ring.
     *
     * @param states the endpoints, not null
     * @return the ring, never null
     */
    static HashRing of(List<EndpointState> states) {
        record Point(long hash, EndpointState endpoint) {}
        Point[] sorted = new Point[states.size() * POINTS_PER_ENDPOINT];
        int next = 0;
        for (EndpointState state : states) {
            byte[] name = state.getEndpoint().name().getBytes(StandardCharsets.UTF_8);
            for (int i = 0; i < POINTS_PER_ENDPOINT; i++) {
                long hash = MurmurHash3.hash128x64(name, 0, name.length, i)[0];
                sorted[next++] = new Point(hash, state);
            }
        }
        Arrays.sort(sorted, (a, b) -> Long.compare(a.hash(), b.hash()));
        long[] points = new long[sorted.length];
        EndpointState[] endpoints = new EndpointState[sorted.length];
        for (int i = 0; i < sorted.length; i++) {
            points[i] = sorted[i].hash();
            endpoints[i] = sorted[i].endpoint();
        }
        return new HashRing(points, endpoints);
    }

    /**
     * Gets the first usable endpoint for a prefix, in ring order.
     *
     * @param prefixKey the hash of the prefix
     * @param maxSteps the maximum number of ring points to visit
     * @return the endpoint, null if none of the visited endpoints is usable
     */
    @org.jspecify.annotations.Nullable
    EndpointState getEndpointFor(long prefixKey, int maxSteps) {
        return getEndpointFor(prefixKey, maxSteps, null);
    }

    /**
     * Gets the first usable endpoint for a prefix, in ring order, other than a given one.
     *
     * @param prefixKey the hash of the prefix
     * @param maxSteps the maximum number of ring points to visit
     * @param excluded the endpoint that is passed over, null for none
     * @return the endpoint, null if none of the visited endpoints is usable
     */
    @org.jspecify.annotations.Nullable
    EndpointState getEndpointFor(
            long prefixKey, int maxSteps, @org.jspecify.annotations.Nullable EndpointState excluded) {
        int found = Arrays.binarySearch(points, prefixKey);
        int start = found >= 0 ? found : -found - 1;
        int steps = Math.min(maxSteps, points.length);
        for (int i = 0; i < steps; i++) {
            EndpointState endpoint = endpoints[(start + i) % endpoints.length];
            if (endpoint != excluded && endpoint.isUsable()) {
                return endpoint;
            }
        }
        return null;
    }
}
