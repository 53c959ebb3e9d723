package org.fuchsiawharf.core.limits;

/**
 * Allows any number of calls; a baseline for comparisons.
 *
 * <p>Stateless and thread-safe.
 */
public final class NoConcurrencyLimit implements ConcurrencyLimit {
    @Override
    public boolean hasRoom(int inFlight, double occupancy, int slots) {
        return true;
    }

    @Override
    public void onResponseStart(int inFlight, long delayNanos, long nowNanos) {}

    @Override
    public void onPushback(int inFlight, long nowNanos) {}
}
