package org.fuchsiawharf.relay.instance;

import java.net.InetSocketAddress;

import org.fuchsiawharf.core.member.Member;
import org.jspecify.annotations.Nullable;

/**
 * The settings of one instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param self the instance as others see it
 * @param callers the address that callers connect to
 * @param status the address that readiness is asked at
 * @param metrics the address that metrics are served at, null for none
 * @param retryRatio the repeats that one request allows, over all instances
 * @param retryAllowance the repeats in a window beside, over all instances
 * @param retryWindowMillis the length of that window, in milliseconds
 * @param gracePeriodMillis how long a stopping instance may go on, in milliseconds
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
