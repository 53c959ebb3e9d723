package org.fuchsiawharf.core.limits;

/**
 * Raises the limit additively on success and lowers it multiplicatively on pushback.
 *
 * <p>Independently of the learned limit, the expected occupancy may exceed the endpoint's slots only by a short
 * queue, which keeps the endpoint busy between two load reports. The limit lies between 1 and 512. Confined to the
 * decision loop.
 */
public final class AdaptiveConcurrencyLimit implements ConcurrencyLimit {
    private static final double INITIAL = 32;
    private static final double MAX = 512;
    private static final double DECREASE = 0.8;

    private final double queueShare;
    private double limit = INITIAL;

    /**
     * Creates a limit.
     *
     * @param queueShare the calls allowed to wait at the endpoint, as a share of its slots
     */
    public AdaptiveConcurrencyLimit(double queueShare) {
        this.queueShare = queueShare;
    }

    @Override
    public boolean hasRoom(int inFlight, double occupancy, int slots) {
        return inFlight < limit && occupancy < slots * (1 + queueShare);
    }

    @Override
    public void onSuccess(int inFlight) {
        if (inFlight * 2 > limit) {
            limit = Math.min(MAX, limit + 1 / limit);
        }
    }

    @Override
    public void onPushback() {
        limit = Math.max(1, limit * DECREASE);
    }
}
