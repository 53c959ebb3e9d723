package org.fuchsiawharf.core.limits;

import org.fuchsiawharf.core.util.Arguments;

/**
 * Bounds of what callers' connections may take of a process, whatever their requests are.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxConnections the maximum number of connections
 * @param maxBytes the maximum memory that all connections together hold, in bytes
 * @param maxReadAheadBytes the memory of one connection's requests behind the current one from which no more is read,
 *     in bytes
 * @param maxHeaderLines the maximum number of lines of one request's head and trailers
 * @param maxPeerConnections the maximum number of accepted connections at the port for other instances
 * @param maxStatusConnections the maximum number of connections at the ports for status pages together
 */
public record CallerBounds(
        int maxConnections,
        long maxBytes,
        int maxReadAheadBytes,
        int maxHeaderLines,
        int maxPeerConnections,
        int maxStatusConnections) {
    /** Real clients send well under 200 header lines. */
    public static final int DEFAULT_HEADER_LINES = 200;
    /** Several requests of a few KB that a client sends ahead. */
    public static final int DEFAULT_READ_AHEAD_BYTES = 32 * 1_024;

    /** Probes and scrapes keep a few connections open. */
    public static final int DEFAULT_STATUS_CONNECTIONS = 64;

    /** Room for one request of the largest size that a configuration usually allows, 4 MB, with its head. */
    public static final long MIN_BYTES = 6L << 20;

    /** Room for one status page, whose metrics take tens of KB. */
    private static final long MIN_STATUS_BYTES = 1L << 20;
    /** Share of the heap for all connections; the rest is for the instance, its calls and for garbage. */
    private static final int HEAP_SHARE = 4;
    /** Heap for each connection; an idle one takes about a sixth of it. */
    private static final int HEAP_BYTES_PER_CONNECTION = 64 * 1_024;
    /** Share of the callers' memory for the incomplete frames of other instances, whose maximum is 4 MB. */
    private static final int PEER_SHARE = 4;
    /** Share of the callers' memory for unread status pages, which are tens of KB long. */
    private static final int STATUS_SHARE = 16;
    /** Share of the file descriptors for the connections; other ports and calls to endpoints take the rest. */
    private static final int DESCRIPTOR_SHARE = 4;

    /** Validates the bounds. */
    public CallerBounds {
        Arguments.between(maxConnections, 1, Integer.MAX_VALUE, "maxConnections");
        Arguments.between(maxBytes, 1, Long.MAX_VALUE, "maxBytes");
        Arguments.between(maxReadAheadBytes, 1, Integer.MAX_VALUE, "maxReadAheadBytes");
        Arguments.between(maxHeaderLines, 1, Integer.MAX_VALUE, "maxHeaderLines");
        Arguments.between(maxPeerConnections, 1, Integer.MAX_VALUE, "maxPeerConnections");
        Arguments.between(maxStatusConnections, 1, Integer.MAX_VALUE, "maxStatusConnections");
    }

    /**
     * Gets the default bounds of a process.
     *
     * @param maxHeapBytes the maximum size of the heap, in bytes
     * @param maxDescriptors the maximum number of open file descriptors
     * @return the bounds, never null
     */
    public static CallerBounds of(long maxHeapBytes, long maxDescriptors) {
        long shared = Math.min(maxHeapBytes / HEAP_BYTES_PER_CONNECTION, maxDescriptors / DESCRIPTOR_SHARE);
        int connections = (int) Math.max(1, Math.min(shared, Integer.MAX_VALUE));
        return new CallerBounds(
                connections,
                Math.max(MIN_BYTES, maxHeapBytes / HEAP_SHARE),
                DEFAULT_READ_AHEAD_BYTES,
                DEFAULT_HEADER_LINES,
                connections,
                Math.min(connections, DEFAULT_STATUS_CONNECTIONS));
    }

    /**
     * Gets the maximum memory of the incomplete frames of other instances.
     *
     * @return the memory, in bytes
     */
    public long getMaxPeerBytes() {
        return Math.max(MIN_BYTES, maxBytes / PEER_SHARE);
    }

    /**
     * Gets the maximum memory of the connections to status pages.
     *
     * @return the memory, in bytes
     */
    public long getMaxStatusBytes() {
        return Math.max(MIN_STATUS_BYTES, maxBytes / STATUS_SHARE);
    }
}
