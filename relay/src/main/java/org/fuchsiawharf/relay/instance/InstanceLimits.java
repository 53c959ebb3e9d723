package org.fuchsiawharf.relay.instance;

import org.fuchsiawharf.core.limits.CallerBounds;
import org.fuchsiawharf.core.limits.ColdShares;
import org.fuchsiawharf.core.retry.HedgeLimits;

/**
 * What an instance does at most for callers and to endpoints.
 *
 * <p>Immutable and thread-safe.
 *
 * @param callers the bounds of what callers' connections take of the process
 * @param hedges the extra work that hedges may cause
 * @param cold what a cold endpoint may receive beyond the rate that it bears, from all instances together
 */
public record InstanceLimits(CallerBounds callers, HedgeLimits hedges, ColdShares.Tolerance cold) {
    /**
     * Gets the limits of an instance whose settings name none: the default bounds of callers and no hedges.
     *
     * @return the limits, never null
     */
    public static InstanceLimits defaults() {
        return new InstanceLimits(defaultCallerBounds(), HedgeLimits.OFF, ColdShares.Tolerance.NONE);
    }

    /**
     * Gets the default bounds of callers, which depend on the memory and the descriptors of this process.
     *
     * @return the bounds, never null
     */
    public static CallerBounds defaultCallerBounds() {
        return CallerBounds.of(Runtime.getRuntime().maxMemory(), ProcessUsage.getMaxDescriptors());
    }

    /**
     * Returns these limits with other limits of hedges.
     *
     * @param limits the limits of hedges, not null
     * @return the changed limits, never null
     */
    public InstanceLimits withHedges(HedgeLimits limits) {
        return new InstanceLimits(callers, limits, cold);
    }
}
