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
 * @param callers the listen address for callers
 * @param status the listen address for readiness checks
 * @param metrics the listen address for metrics, null if metrics are not served
 * @param retryRatio the number of retries that each request adds to the retry budget of all instances
 * @param retryAllowance the number of retries that all instances may make per window in addition
 * @param retryWindowMillis the length of the window, in milliseconds
 * @param gracePeriodMillis the longest time from the stop signal to the exit, in milliseconds
 */
public record InstanceSettings(
        Member self,
        InetSocketAddress callers,
        InetSocketAddress status,
        @Nullable InetSocketAddress metrics,
        double retryRatio,
        double retryAllowance,
        long retryWindowMillis,
        long gracePeriodMillis) {}
