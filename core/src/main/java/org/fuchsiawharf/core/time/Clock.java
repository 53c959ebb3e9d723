package org.fuchsiawharf.core.time;

/**
 * Reads a monotonic clock.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface Clock {
    /**
     * Reads the clock.
     *
     * @return nanoseconds since an arbitrary fixed moment
     */
    long nanos();
}
