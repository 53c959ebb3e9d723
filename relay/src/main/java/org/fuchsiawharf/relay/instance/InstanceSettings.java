package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;

import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.member.Member;
import org.jspecify.annotations.Nullable;

/**
 * The settings of one instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the member entry of this instance
 * @param callerAddress the listen address for callers
 * @param statusAddress the listen address for status pages, such as readiness
 * @param metricsAddress another listen address for status pages, null if the metrics page is not served
 * @param retryRatio the number of retries that each request adds to the retry budget of all instances
 * @param retryAllowance the number of retries per window that all instances together may make
 *     beyond those earned by requests
 * @param retryWindowMillis the length of the window, in milliseconds
 * @param gracePeriodMillis the longest time from the stop signal to the exit, in milliseconds
 * @param callerBounds the bounds of what callers' connections take of the process
 */
public record InstanceSettings(
        Member self,
        InetSocketAddress callerAddress,
        InetSocketAddress statusAddress,
        @Nullable InetSocketAddress metricsAddress,
        double retryRatio,
        double retryAllowance,
        long retryWindowMillis,
        long gracePeriodMillis,
        CallerBounds callerBounds) {
    /**
     * Gets the default bounds of this process.
     *
     * @return the bounds, never null
     */
    public static CallerBounds defaultCallerBounds() {
        return CallerBounds.of(Runtime.getRuntime().maxMemory(), ProcessUsage.getMaxDescriptors());
    }
}
