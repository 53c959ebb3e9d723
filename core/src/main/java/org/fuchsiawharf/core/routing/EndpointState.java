package org.fuchsiawharf.core.routing;

import org.fuchsiawharf.core.limits.ConcurrencyLimit;
import org.fuchsiawharf.core.model.Endpoint;

/**
 * What one instance knows about one endpoint.
 *
 * <p>The occupancy is this instance's own open calls, which it knows exactly, and a slow estimate of those of all
 * others. A report is a few hundred milliseconds old: it is compared with the own calls open at the report before,
 * and smoothed, so that instances with the same report do not all turn to the same endpoint. The number of open
 * calls never falls below 0. Confined to the decision loop.
 */
public final class EndpointState {
    private static final int DEFAULT_SLOTS = 8;
    private static final int PREFIX_SLOTS = 256;
    private static final double LOAD_SLOPE = 1.0;
    private static final double OTHERS_WEIGHT = 0.3;
    private static final double EXCESS_SHARE = 0.25;
    private static final double MIN_RATIO = 0.6;
    private static final double MAX_RATIO = 1.6;

    private final Endpoint endpoint;
    private final boolean ownZone;
    private final ConcurrencyLimit limit;
    private final LatencyEstimate service;
    private final LatencyEstimate tokenGap = new LatencyEstimate(0);
    private final long[] prefixes = new long[PREFIX_SLOTS];

    private boolean leaving;
    private boolean listed = true;
    private int inFlight;
    private int inFlightAtLastReport;
    private int reported;
    private double others;
    private int slots = DEFAULT_SLOTS;
    private long cacheSequence = -1;

    private int consecutiveFailures;
    private int ejections;
    private boolean ejected;
    private long ejectedUntil;
    private long slowStartFrom = Long.MIN_VALUE;
    private boolean probing;

    /**
     * Creates the state of an endpoint that was not seen before.
     *
     * @param endpoint the endpoint, not null
     * @param ownZone whether it runs in the instance's availability zone
     * @param limit the limit on this instance's open calls, not null
     * @param priorNanos the time of a call before any was seen, in nanoseconds
     */
    public EndpointState(Endpoint endpoint, boolean ownZone, ConcurrencyLimit limit, double priorNanos) {
        this.endpoint = endpoint;
        this.ownZone = ownZone;
        this.limit = limit;
        this.service = new LatencyEstimate(priorNanos);
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the endpoint.
     *
     * @return the endpoint, never null
     */
    public Endpoint getEndpoint() {
        return endpoint;
    }

    /**
     * Tells whether the endpoint runs in the instance's availability zone.
     *
     * @return true if it does
     */
    public boolean isOwnZone() {
        return ownZone;
    }

    /**
     * Tells whether a new call may be sent now.
     *
     * @return true if the endpoint is listed, stays, is not ejected and has room
     */
    public boolean isAvailable() {
        return isUsable() && hasRoom();
    }

    /**
     * Tells whether the endpoint takes new calls at all, with room or without.
     *
     * @return true if it is listed, stays and is not ejected, or is being probed with nothing else open
     */
    public boolean isUsable() {
        return listed && !leaving && (!ejected || (probing && inFlight == 0));
    }

    /**
     * Tells whether this instance may open one more call.
     *
     * @return true if both the limit and the endpoint's occupancy allow it
     */
    public boolean hasRoom() {
        return limit.hasRoom(inFlight, getOccupancy(), slots);
    }

    /**
     * Gets the number of this instance's open calls.
     *
     * @return the count
     */
    public int getInFlight() {
        return inFlight;
    }

    /**
     * Gets the number of calls last reported, running and waiting.
     *
     * @return the count
     */
    public int getReported() {
        return reported;
    }

    /**
     * Gets the estimate of the other instances' calls at the endpoint.
     *
     * @return the smoothed count
     */
    public double getOthers() {
        return others;
    }

    /**
     * Gets the number of calls that the endpoint runs at once.
     *
     * @return the count
     */
    public int getSlots() {
        return slots;
    }

    /**
     * Gets the expected number of calls at the endpoint, running and waiting.
     *
     * @return this instance's open calls and the estimate of all others'
     */
    public double getOccupancy() {
        return inFlight + others;
    }

    /**
     * Gets the expected time until a new call would be complete.
     *
     * <p>Of the other instances' calls only a clear excess over what is usual in the pool counts: reports are too
     * old to follow smaller differences, and following them makes instances move together.
     *
     * @param poolNanos the usual time of a call on an idle endpoint of the pool, in nanoseconds
     * @param poolOthers the usual number of other instances' calls at an endpoint of the pool
     * @return nanoseconds
     */
    public double getExpectedNanos(double poolNanos, double poolOthers) {
        double occupancy = inFlight + Math.max(0, others - poolOthers - EXCESS_SHARE * slots);
        double running = Math.min(occupancy, slots);
        double waiting = occupancy - running;
        return usualNanos(poolNanos) * (1 + LOAD_SLOPE * running / slots + waiting / slots);
    }

    // Small differences between endpoints are noise, and would draw every instance to the same one.
    private double usualNanos(double poolNanos) {
        double own = service.getMean();
        boolean noise = service.getCount() == 0 || (own > MIN_RATIO * poolNanos && own < MAX_RATIO * poolNanos);
        return noise && poolNanos > 0 ? poolNanos : own;
    }

    /**
     * Gets the estimate of a call's time on an idle endpoint.
     *
     * @return the estimate, never null
     */
    public LatencyEstimate getService() {
        return service;
    }

    /**
     * Gets the estimate of the time between two tokens.
     *
     * @return the estimate, never null
     */
    public LatencyEstimate getTokenGap() {
        return tokenGap;
    }

    /**
     * Gets the limit on this instance's open calls.
     *
     * @return the limit, never null
     */
    public ConcurrencyLimit getLimit() {
        return limit;
    }

    /**
     * Tells whether the endpoint's cache is believed to hold a prefix.
     *
     * @param prefixKey the prefix's hash, 0 for none
     * @return true if the last event about its slot added this prefix
     */
    public boolean hasPrefix(long prefixKey) {
        return prefixKey != 0 && prefixes[slotOf(prefixKey)] == prefixKey;
    }

    // -----------------------------------------------------------------------

    /** Counts a call that is being sent. */
    public void onSent() {
        inFlight++;
    }

    /** Counts the end of a call. */
    public void onEnded() {
        inFlight--;
    }

    /**
     * Learns from a completed call.
     *
     * @param nanos the call's time, in nanoseconds
     * @return the time that the call would have taken on the idle endpoint, in nanoseconds
     */
    public double onCompleted(long nanos) {
        double running = Math.min(getOccupancy(), slots);
        double idleNanos = nanos / (1 + LOAD_SLOPE * running / slots);
        service.add(idleNanos);
        return idleNanos;
    }

    /**
     * Takes in a load report, which may be older than calls already sent.
     *
     * @param running calls running at the endpoint
     * @param waiting calls waiting at the endpoint
     * @param reportedSlots calls that run at once, at least 1
     */
    public void onReport(int running, int waiting, int reportedSlots) {
        reported = running + waiting;
        slots = Math.max(1, reportedSlots);
        double sample = Math.max(0, reported - inFlightAtLastReport);
        others += OTHERS_WEIGHT * (sample - others);
        inFlightAtLastReport = inFlight;
    }

    /**
     * Takes in a cache event.
     *
     * @param sequence the event's number
     * @param prefixKey the prefix's hash
     * @param present whether it was added, else removed
     * @return false if events before this one were lost, whereupon everything known was dropped
     */
    public boolean onCacheEvent(long sequence, long prefixKey, boolean present) {
        boolean contiguous = cacheSequence < 0 || sequence == cacheSequence + 1;
        if (!contiguous) {
            java.util.Arrays.fill(prefixes, 0);
        }
        cacheSequence = sequence;
        int slot = slotOf(prefixKey);
        if (present) {
            prefixes[slot] = prefixKey;
        } else if (prefixes[slot] == prefixKey) {
            prefixes[slot] = 0;
        }
        return contiguous;
    }

    /**
     * Takes in the directory's view.
     *
     * @param nowListed whether the directory lists the endpoint
     * @param nowLeaving whether it is leaving
     */
    public void onListed(boolean nowListed, boolean nowLeaving) {
        listed = nowListed;
        leaving = nowLeaving;
    }

    /** Notes that the endpoint itself said that it is leaving. */
    public void onLeaving() {
        leaving = true;
    }

    /**
     * Tells whether the endpoint is leaving.
     *
     * @return true if it takes no new work
     */
    public boolean isLeaving() {
        return leaving;
    }

    // -----------------------------------------------------------------------

    /**
     * Counts a failed call.
     *
     * @return the number of failures since the last success
     */
    public int onFailure() {
        return ++consecutiveFailures;
    }

    /** Ends a run of failures. */
    public void onSuccess() {
        consecutiveFailures = 0;
    }

    /**
     * Ejects the endpoint.
     *
     * @param untilNanos when a probe may be sent
     */
    public void eject(long untilNanos) {
        ejected = true;
        probing = false;
        ejectedUntil = untilNanos;
        ejections++;
    }

    /**
     * Allows one probe at a time.
     *
     * @param nowNanos the time
     */
    public void allowProbe(long nowNanos) {
        if (ejected && nowNanos >= ejectedUntil) {
            probing = true;
        }
    }

    /**
     * Returns the endpoint to service with a reduced share that grows.
     *
     * @param nowNanos the time
     */
    public void readmit(long nowNanos) {
        ejected = false;
        probing = false;
        consecutiveFailures = 0;
        slowStartFrom = nowNanos;
    }

    /** Forgets past ejections after a long time without one. */
    public void forgive() {
        ejections = 0;
    }

    /**
     * Tells whether the endpoint is ejected.
     *
     * @return true if it is
     */
    public boolean isEjected() {
        return ejected;
    }

    /**
     * Gets how often the endpoint was ejected since it was last forgiven.
     *
     * @return the count
     */
    public int getEjections() {
        return ejections;
    }

    /**
     * Gets when the endpoint was last readmitted.
     *
     * @return nanoseconds, {@link Long#MIN_VALUE} if it never was
     */
    public long getSlowStartFrom() {
        return slowStartFrom;
    }

    private static int slotOf(long prefixKey) {
        return (int) (prefixKey ^ (prefixKey >>> 32)) & (PREFIX_SLOTS - 1);
    }
}
