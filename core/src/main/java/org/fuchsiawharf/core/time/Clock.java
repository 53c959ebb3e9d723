package org.fuchsiawharf.core.time;

/**
 * A monotonic clock.
 *
 * <p>Implementations are thread-safe.
 */
@FunctionalInterface
public interface Clock {
    /**
     * Gets the current time.
     *
     * @return the time, in nanoseconds since an arbitrary fixed origin
     */
    long nanos();
}
