package org.fuchsiawharf.core.routing;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;

/**
 * Maps a prefix to the endpoint that should hold it, by consistent hashing.
 *
 * <p>Every instance that knows the same endpoints chooses the same owner without speaking to another. When an
 * endpoint goes, only its own prefixes move. Immutable and thread-safe.
 */
final class HashRing {
    private static final int POINTS_PER_ENDPOINT = 32;

    private final long[] points;
    private final EndpointState[] owners;

    private HashRing(long[] points, EndpointState[] owners) {
        this.points = points;
        this.owners = owners;
    }

    /**
     * Builds a ring.
     *
     * @param states the endpoints, not null
     * @return the ring, never null
     */
    static HashRing of(List<EndpointState> states) {
        record Point(long hash, EndpointState owner) {}
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
        EndpointState[] owners = new EndpointState[sorted.length];
        for (int i = 0; i < sorted.length; i++) {
            points[i] = sorted[i].hash();
            owners[i] = sorted[i].owner();
        }
        return new HashRing(points, owners);
    }

    /**
     * Gets the first usable owner of a prefix.
     *
     * @param prefixKey the prefix's hash
     * @param maxSteps the greatest number of ring points to visit
     * @return the owner, null if none of the visited ones is usable
     */
    @org.jspecify.annotations.Nullable
    EndpointState getOwner(long prefixKey, int maxSteps) {
        int found = Arrays.binarySearch(points, prefixKey);
        int start = found >= 0 ? found : -found - 1;
        int steps = Math.min(maxSteps, points.length);
        for (int i = 0; i < steps; i++) {
            EndpointState owner = owners[(start + i) % owners.length];
            if (owner.isUsable()) {
                return owner;
            }
        }
        return null;
    }
}
