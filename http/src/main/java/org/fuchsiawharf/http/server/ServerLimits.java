package org.fuchsiawharf.http.server;

import org.fuchsiawharf.core.util.Arguments;

/**
 * Limits on callers' use of an instance's resources.
 *
 * <p>Immutable and thread-safe.
 *
 * @param maxBodyBytes the largest request body, 1 KiB to 16 MiB
 * @param maxConnections the maximum number of concurrent connections, 1 to 100,000
 * @param maxDeadlineMillis the longest deadline, 1 to 600,000 ms
 * @param bodyTimeoutMillis the maximum time to receive a body, 100 to 600,000 ms
 * @param maxUnsentBytes the maximum number of bytes of a stream queued for a slow caller, 1 KiB to 16 MiB
 */
public record ServerLimits(
        int maxBodyBytes, int maxConnections, long maxDeadlineMillis, long bodyTimeoutMillis, int maxUnsentBytes) {
    private static final int KIB = 1024;
    private static final int MAX_BYTES = 16 * KIB * KIB;
    private static final long MAX_MILLIS = 600_000;

    /**
     * Checks that each limit is in its range.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if a limit is out of range
     */
    public ServerLimits {
        Arguments.between(maxBodyBytes, KIB, MAX_BYTES, "limits.maxBodyBytes");
        Arguments.between(maxConnections, 1, 100_000, "limits.maxConnections");
        Arguments.between(maxDeadlineMillis, 1, MAX_MILLIS, "limits.maxDeadlineMillis");
        Arguments.between(bodyTimeoutMillis, 100, MAX_MILLIS, "limits.bodyTimeoutMillis");
        Arguments.between(maxUnsentBytes, KIB, MAX_BYTES, "limits.maxUnsentBytes");
    }

    /**
     * Gets the default limits.
     *
     * @return bodies up to 1 MiB, 4,096 connections, deadlines up to 120 s, 10 s to receive a body, 256 KiB unsent;
     *     never null
     */
    public static ServerLimits defaults() {
        return new ServerLimits(KIB * KIB, 4_096, 120_000, 10_000, 256 * KIB);
    }
}
