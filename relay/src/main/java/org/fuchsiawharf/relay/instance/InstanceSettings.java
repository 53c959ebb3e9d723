package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;

import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.limits.ColdShares;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.retry.HedgeLimits;
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
 * @param coldTolerance what a cold endpoint may receive beyond the rate that it bears, from all instances together
 * @param gracePeriodMillis the longest time from the stop signal to the exit, in milliseconds
 * @param hedgeLimits the extra work that hedges may cause
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
        ColdShares.Tolerance coldTolerance,
        long gracePeriodMillis,
        HedgeLimits hedgeLimits,
        CallerBounds callerBounds) {

    /**
     * Creates settings for endpoints that are never cold, with the default bounds of callers.
     *
     * @param self the member entry of this instance, not null
     * @param callerAddress the listen address for callers, not null
     * @param statusAddress the listen address for status pages, not null
     * @param metricsAddress another listen address for status pages, null if the metrics page is not served
     * @param retryRatio the number of retries that each request adds to the retry budget of all instances
     * @param retryAllowance the number of retries per window beyond those earned by requests
     * @param retryWindowMillis the length of the window, in milliseconds
     * @param gracePeriodMillis the longest time from the stop signal to the exit, in milliseconds
     * @param hedgeLimits the extra work that hedges may cause, not null
     */
    public InstanceSettings(
            Member self,
            InetSocketAddress callerAddress,
            InetSocketAddress statusAddress,
            @Nullable InetSocketAddress metricsAddress,
            double retryRatio,
            double retryAllowance,
            long retryWindowMillis,
            long gracePeriodMillis,
            HedgeLimits hedgeLimits) {
        this(
                self,
                callerAddress,
                statusAddress,
                metricsAddress,
                retryRatio,
                retryAllowance,
                retryWindowMillis,
                ColdShares.Tolerance.NONE,
                gracePeriodMillis,
                hedgeLimits,
                defaultCallerBounds());
    }

    /**
     * Gets the default bounds of this process.
     *
     * @return the bounds, never null
     */
    public static CallerBounds defaultCallerBounds() {
        return CallerBounds.of(Runtime.getRuntime().maxMemory(), ProcessUsage.getMaxDescriptors());
    }
}
