package org.fuchsiawharf.core.routing;

import java.util.function.Supplier;

import org.jspecify.annotations.Nullable;

/**
 * Whether an endpoint is brittle: it fails if it has to reject more than a number of requests in a second for want of
 * room, whichever instances sent them; and whether this instance can expect room there.
 *
 * <p>An endpoint is brittle as long as its responses say so. Its {@link Division} then bounds the calls of this instance
 * in flight to its part of the room. After a rejection, this instance sends nothing until the back-off ends, and then
 * one request at a time until one is accepted. Confined to the decision loop.
 */
public final class Brittleness {
    /** Stands for the maximum of rejections of an endpoint that is not brittle. */
    public static final double NONE = -1;

    /** Time after which a request without a response is assumed to be accepted; many round trips. */
    private static final long ACCEPTED_NANOS = 100_000_000L;

    private double maxRejections = NONE;
    private long lastNamedNanos = Long.MIN_VALUE;
    private long lastAbsentNanos = Long.MIN_VALUE;
    private @Nullable Division division;
    private long lastSentNanos = Long.MIN_VALUE / 2;
    private long blockedUntilNanos = Long.MIN_VALUE;
    private boolean probing;
    private boolean reported;

    /** Divides the room at a brittle endpoint among the instances. */
    public interface Division {
        /**
         * Gets the current time.
         *
         * @return the time in nanoseconds
         */
        long now();

        /**
         * Gets the maximum of rejections that applies to an endpoint which has named none.
         *
         * @param lastAbsentNanos the time at which the endpoint last named none, in nanoseconds; {@link Long#MIN_VALUE} if
         *     it has not responded
         * @return the maximum per second that other endpoints of the service named since; {@link #NONE} if they did not
         */
        double getAssumedMaxRejections(long lastAbsentNanos);

        /**
         * Gets the slots of an endpoint that has not reported them.
         *
         * @param defaultSlots the slots if no endpoint of the service has reported them
         * @return the slots that another endpoint of the service reported last
         */
        int getUsualSlots(int defaultSlots);

        /**
         * Gets the part of this instance of the room.
         *
         * @param slots the number of calls that the endpoint runs concurrently
         * @return the maximum of this instance's calls in flight, 0 if it has no part
         */
        int getShare(int slots);

        /**
         * Gets the time from which an instance that has no part of the room may send a request.
         *
         * @param lastSentNanos the time of this instance's last request, in nanoseconds
         * @param maxRejections the maximum of rejections per second
         * @return the time in nanoseconds
         */
        long getNextSendNanos(long lastSentNanos, double maxRejections);

        /**
         * Draws the time without requests after a rejection.
         *
         * @param slots the number of calls that the endpoint runs concurrently
         * @param maxRejections the maximum of rejections per second
         * @param sentNanos the time at which the rejected request was sent, in nanoseconds
         * @return the time in nanoseconds
         */
        long drawBackoffNanos(int slots, double maxRejections, long sentNanos);

        /**
         * Applies a load report, which may be old.
         *
         * @param brittle whether the endpoint is brittle
         * @param running the number of calls running at the endpoint
         * @param waiting the number of calls waiting at the endpoint
         * @param slots the number of calls that the endpoint runs concurrently
         */
        void onReport(boolean brittle, int running, int waiting, int slots);

        /** Applies that the endpoint has run a call of this instance. */
        void onAccepted();

        /**
         * Applies that the endpoint has rejected a request of this instance for want of room.
         *
         * @param sentNanos the time at which the request was sent, in nanoseconds
         */
        void onRejected(long sentNanos);
    }

    // -----------------------------------------------------------------------

    /**
     * Checks whether the endpoint has stated that it is brittle.
     *
     * @return true if it has, and has not withdrawn it
     */
    public boolean isNamed() {
        return maxRejections != NONE;
    }

    /**
     * Gets the requests that the endpoint can reject for want of room.
     *
     * @return the maximum per second that the endpoint named, or that is assumed of it because other endpoints of its
     *     service named one; {@link #NONE} if it is not brittle
     */
    public double getMaxRejections() {
        Division current = division;
        return isNamed() || current == null ? maxRejections : current.getAssumedMaxRejections(lastAbsentNanos);
    }

    /**
     * Checks whether this instance can expect room for one more call.
     *
     * @param inFlight the number of this instance's calls in flight
     * @param slots the number of calls that the endpoint runs concurrently
     * @return true if the endpoint is not brittle, or the part of this instance permits the call
     */
    public boolean hasRoom(int inFlight, int slots) {
        Division current = division;
        double max = getMaxRejections();
        if (current == null || max == NONE) {
            return true;
        }
        long now = current.now();
        if (now < blockedUntilNanos || (probing && now < lastSentNanos + ACCEPTED_NANOS)) {
            return false;
        }
        int share = getShare(slots);
        if (share > 0) {
            return inFlight < share;
        }
        return inFlight == 0 && now >= current.getNextSendNanos(lastSentNanos, max);
    }

    /**
     * Gets the part of this instance of the endpoint's room.
     *
     * @param slots the number of calls that the endpoint runs concurrently
     * @return the maximum of this instance's calls in flight, 0 if it has no part; {@link Integer#MAX_VALUE} if the
     *     endpoint is not brittle
     */
    public int getShare(int slots) {
        Division current = division;
        if (current == null || getMaxRejections() == NONE) {
            return Integer.MAX_VALUE;
        }
        return current.getShare(reported ? slots : current.getUsualSlots(slots));
    }

    // -----------------------------------------------------------------------

    /**
     * Sets the division of the room among the instances, unless it is set.
     *
     * @param creator creates the division, not null
     */
    public void setDivision(Supplier<Division> creator) {
        if (division == null) {
            division = creator.get();
        }
    }

    /**
     * Applies what a response states. The absence of a maximum is ignored if the request was sent before one was last
     * named, since its response may be older.
     *
     * @param named the maximum of rejections per second, at least 0; {@link #NONE} if the response names none
     * @param sentNanos the time at which the request was sent, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     * @return true if the maximum changed
     */
    public boolean onNamed(double named, long sentNanos, long nowNanos) {
        if (named == NONE && sentNanos < lastNamedNanos) {
            return false;
        }
        if (named == NONE) {
            lastAbsentNanos = Math.max(lastAbsentNanos, sentNanos);
        } else {
            lastNamedNanos = nowNanos;
        }
        boolean changed = named != maxRejections;
        maxRejections = named;
        return changed;
    }

    /**
     * Records that a call is sent to the endpoint.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void onSent(long nowNanos) {
        lastSentNanos = nowNanos;
    }

    /** Records that the endpoint has run a call. */
    public void onAccepted() {
        probing = false;
        Division current = division;
        if (current != null && getMaxRejections() != NONE) {
            current.onAccepted();
        }
    }

    /**
     * Records that the endpoint has rejected a call for want of room.
     *
     * @param slots the number of calls that the endpoint runs concurrently
     * @param sentNanos the time at which the call was sent, in nanoseconds
     */
    public void onRejected(int slots, long sentNanos) {
        Division current = division;
        double max = getMaxRejections();
        if (current != null && max != NONE) {
            probing = true;
            blockedUntilNanos =
                    Math.max(blockedUntilNanos, current.now() + current.drawBackoffNanos(slots, max, sentNanos));
            current.onRejected(sentNanos);
        }
    }

    /**
     * Applies a load report of the endpoint.
     *
     * @param running the number of calls running at the endpoint
     * @param waiting the number of calls waiting at the endpoint
     * @param slots the number of calls that the endpoint runs concurrently
     */
    void onReport(int running, int waiting, int slots) {
        Division current = division;
        reported = true;
        if (current != null) {
            current.onReport(getMaxRejections() != NONE, running, waiting, slots);
        }
    }
}
