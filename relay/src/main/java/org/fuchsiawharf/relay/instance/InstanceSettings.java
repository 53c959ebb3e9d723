package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;

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
 * @param limits what the instance does at most for callers and to endpoints
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
        InstanceLimits limits) {}
