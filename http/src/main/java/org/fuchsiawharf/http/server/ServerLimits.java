package org.fuchsiawharf.http.server;

import org.fuchsiawharf.core.util.Arguments;

/**
 * Bounds on what callers may hold of an instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the largest request body, 1 KiB to 16 MiB
 * @param maxConnections the most connections at once, 1 to 100,000
 * @param maxDeadlineMillis the longest deadline, 1 to 600,000 ms
 * @param bodyTimeoutMillis the longest time to send a body, 100 to 600,000 ms
 * @param maxUnsentBytes the most bytes of a stream that a slow caller leaves unread, 1 KiB to 16 MiB
 */
public record ServerLimits(
        int maxBodyBytes, int maxConnections, long maxDeadlineMillis, long bodyTimeoutMillis, int maxUnsentBytes) {
    private static final int KIB = 1024;
    private static final int MAX_BYTES = 16 * KIB * KIB;
    private static final long MAX_MILLIS = 600_000;

    /**
     * Checks the bounds.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if one is out of bounds
     */
    public ServerLimits {
        Arguments.between(maxBodyBytes, KIB, MAX_BYTES, "limits.maxBodyBytes");
        Arguments.between(maxConnections, 1, 100_000, "limits.maxConnections");
        Arguments.between(maxDeadlineMillis, 1, MAX_MILLIS, "limits.maxDeadlineMillis");
        Arguments.between(bodyTimeoutMillis, 100, MAX_MILLIS, "limits.bodyTimeoutMillis");
        Arguments.between(maxUnsentBytes, KIB, MAX_BYTES, "limits.maxUnsentBytes");
    }

    /**
     * Gets the bounds used where settings name none.
     *
     * @return 1 MiB bodies, 4,096 connections, deadlines to 120 s, 10 s a body, 256 KiB unsent; never null
     */
    public static ServerLimits defaults() {
        return new ServerLimits(KIB * KIB, 4_096, 120_000, 10_000, 256 * KIB);
    }
}
