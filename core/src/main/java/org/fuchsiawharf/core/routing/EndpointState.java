package org.fuchsiawharf.core.routing;

import org.fuchsiawharf.core.limits.ConcurrencyLimit;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;

/**
 * The state of one endpoint as seen by one instance.
 *
 * <p>The occupancy is the exact number of this instance's calls in flight plus a smoothed estimate of those of all
 * other instances. Load reports arrive a few hundred milliseconds late, so each is compared with the number of this
 * instance's calls in flight at the previous report. The smoothing keeps instances with the same report from all
 * switching to the same endpoint. {@link #onEnded} must be called once for each {@link #onSent}, so that the number of
 * calls in flight never falls below 0. Confined to the decision loop.
 */
public final class EndpointState {
    private static final int DEFAULT_SLOTS = 8;
    private static final int PREFIX_BUCKETS = 256;
    private static final double LOAD_SLOPE = 1.0;
    private static final double OTHERS_SMOOTHING = 0.3;
    private static final double EXCESS_TOLERANCE = 0.25;
    private static final double MIN_NOISE_RATIO = 0.6;
    private static final double MAX_NOISE_RATIO = 1.6;

    private final Endpoint endpoint;
    private final String process;
    private final String version;
    private final boolean ownZone;
    private final ConcurrencyLimit limit;
    private final LatencyEstimate serviceTime;
    private final LatencyEstimate tokenInterval = new LatencyEstimate(0);
    private final EndpointNotices notices;
    private final long[] prefixes = new long[PREFIX_BUCKETS];

    private boolean listed = true;
    private int inFlight;
    private int inFlightAtLastReport;
    private final EndpointLoad load = new EndpointLoad();
    private double othersInFlight;
    private int slots = DEFAULT_SLOTS;
    private long lastCacheSequence = -1;

    private int consecutiveFailures;
    private int ejections;
    private boolean ejected;
    private long ejectedUntil;
    private long readmittedNanos = Long.MIN_VALUE;
    private boolean probing;

    /**
     * Creates the state of an endpoint.
     *
     * @param status the endpoint as listed first, not null
     * @param ownZone whether the endpoint runs in the instance's availability zone
     * @param limit the limit on this instance's calls in flight, not null
     * @param priorNanos the assumed time of a call before the first sample, in nanoseconds
     * @param notices what this incarnation of the endpoint has stated so far, not null
     */
    EndpointState(
            EndpointStatus status,
            boolean ownZone,
            ConcurrencyLimit limit,
            double priorNanos,
            EndpointNotices notices) {
        this.endpoint = status.endpoint();
        this.version = status.version();
        this.process = status.incarnation() == 0 ? endpoint.name() : endpoint.name() + "/" + status.incarnation();
        this.notices = notices;
        this.ownZone = ownZone;
        this.limit = limit;
        this.serviceTime = new LatencyEstimate(priorNanos);
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
     * Gets the name of the endpoint and its incarnation, which distinguishes it from those that had the name before.
     *
     * @return the name, a slash and the incarnation; the name alone if the directory lists no incarnation; never null
     */
    public String getProcess() {
        return process;
    }

    /**
     * Gets the version of the endpoint's software.
     *
     * @return the version, empty if the directory lists none, never null
     */
    public String getVersion() {
        return version;
    }

    /**
     * Checks whether the endpoint runs in the instance's availability zone.
     *
     * @return true if it does
     */
    public boolean isOwnZone() {
        return ownZone;
    }

    /**
     * Checks whether a new call may be sent now.
     *
     * @return true if the endpoint is usable and has room
     */
    public boolean isAvailable() {
        return isUsable() && hasRoom();
    }

    /**
     * Checks whether the endpoint accepts new calls, regardless of its occupancy.
     *
     * @return true if it is listed, not leaving, and either not ejected, or ejected, open to probes and without a call
     *     of this instance in flight
     */
    public boolean isUsable() {
        return !isLeaving() && (!ejected || (probing && inFlight == 0));
    }

    /**
     * Checks whether the endpoint accepts a request of any kind, regardless of its health and occupancy.
     *
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint is not leaving, and neither a pause nor a limit, named or of a cold endpoint, forbids the request
     */
    public boolean acceptsRequest(long nowNanos) {
        return !isLeaving() && getRequestLimit().maySend(nowNanos);
    }

    /**
     * Checks whether this instance may send one more call.
     *
     * @return true if the limit, the endpoint's occupancy and, if it is brittle, this instance's part of the room permit it
     */
    public boolean hasRoom() {
        return limit.hasRoom(inFlight, getOccupancy(), slots)
                && getBrittleness().hasRoom(inFlight, slots);
    }

    /**
     * Gets the number of this instance's calls in flight.
     *
     * @return the count
     */
    public int getInFlight() {
        return inFlight;
    }

    /**
     * Gets the load that the endpoint last stated.
     *
     * @return the load, never null
     */
    public EndpointLoad getLoad() {
        return load;
    }

    /**
     * Gets the estimated number of other instances' calls at the endpoint.
     *
     * @return the smoothed count
     */
    public double getOthersInFlight() {
        return othersInFlight;
    }

    /**
     * Gets the number of calls that the endpoint runs concurrently.
     *
     * @return the count
     */
    public int getSlots() {
        return slots;
    }

    /**
     * Gets the expected number of calls at the endpoint, running and waiting.
     *
     * @return the sum of this instance's calls in flight and the estimate for all other instances
     */
    public double getOccupancy() {
        return inFlight + othersInFlight;
    }

    /**
     * Gets the expected time to completion of a new call.
     *
     * <p>Other instances' calls count only as far as they clearly exceed the pool's mean. Smaller differences are
     * within the error of old reports; if instances reacted to them, all would switch to the same endpoint.
     *
     * @param poolNanos the mean time of a call on an idle endpoint of the pool, in nanoseconds
     * @param poolOthersInFlight the mean number of other instances' calls at an endpoint of the pool
     * @return the time in nanoseconds
     */
    public double getExpectedNanos(double poolNanos, double poolOthersInFlight) {
        double occupancy = inFlight + Math.max(0, othersInFlight - poolOthersInFlight - EXCESS_TOLERANCE * slots);
        double running = Math.min(occupancy, slots);
        double waiting = occupancy - running;
        return getServiceNanos(poolNanos) * (1 + LOAD_SLOPE * running / slots + waiting / slots);
    }

    // Treats small differences between endpoints as noise: they would attract every instance to the same endpoint.
    private double getServiceNanos(double poolNanos) {
        double ownNanos = serviceTime.getMean();
        boolean withinNoise = serviceTime.getCount() == 0
                || (ownNanos > MIN_NOISE_RATIO * poolNanos && ownNanos < MAX_NOISE_RATIO * poolNanos);
        return withinNoise && poolNanos > 0 ? poolNanos : ownNanos;
    }

    /**
     * Gets the estimate of a call's time on the idle endpoint.
     *
     * @return the estimate, never null
     */
    public LatencyEstimate getServiceTime() {
        return serviceTime;
    }

    /** Gets the estimate of the interval between two tokens; never null. */
    public LatencyEstimate getTokenInterval() {
        return tokenInterval;
    }

    /**
     * Gets the limit on this instance's calls in flight.
     *
     * @return the limit, never null
     */
    public ConcurrencyLimit getLimit() {
        return limit;
    }

    /**
     * Gets the limit on the requests that the endpoint accepts from all instances.
     *
     * @return the limit, never null
     */
    public RequestLimit getRequestLimit() {
        return notices.getRequestLimit();
    }

    /** Gets whether the endpoint has stated that it is brittle; never null. */
    public Brittleness getBrittleness() {
        return notices.getBrittleness();
    }

    EndpointNotices getNotices() {
        return notices;
    }

    /**
     * Checks whether the endpoint's cache is assumed to hold a prefix.
     *
     * @param prefixKey the prefix's hash, 0 for none
     * @return true if the prefix was added and since then neither removed nor replaced by another prefix of its bucket
     */
    public boolean hasPrefix(long prefixKey) {
        return prefixKey != 0 && prefixes[bucketOf(prefixKey)] == prefixKey;
    }

    // -----------------------------------------------------------------------

    /** Records that a call is sent. */
    public void onSent() {
        inFlight++;
    }

    /** Records that a call has ended. */
    public void onEnded() {
        inFlight--;
    }

    /**
     * Updates the estimate of the call time from a completed call.
     *
     * @param nanos the duration of the call, in nanoseconds
     * @return the estimated duration of the call on the idle endpoint, in nanoseconds
     */
    public double onCompleted(long nanos) {
        double running = Math.min(getOccupancy(), slots);
        double idleNanos = nanos / (1 + LOAD_SLOPE * running / slots);
        serviceTime.add(idleNanos);
        return idleNanos;
    }

    /**
     * Applies a load report, which may be older than calls already sent.
     *
     * @param running the number of calls running at the endpoint
     * @param waiting the number of calls waiting at the endpoint
     * @param reportedSlots the number of calls that the endpoint runs concurrently, at least 1
     * @param nowNanos the current time, in nanoseconds
     */
    public void onReport(int running, int waiting, int reportedSlots, long nowNanos) {
        load.onCounts(running, waiting, inFlight, nowNanos);
        slots = Math.max(1, reportedSlots);
        getBrittleness().onReport(running, waiting, slots);
        double sample = Math.max(0, running + waiting - inFlightAtLastReport);
        othersInFlight += OTHERS_SMOOTHING * (sample - othersInFlight);
        inFlightAtLastReport = inFlight;
    }

    /**
     * Applies a cache event.
     *
     * @param sequence the sequence number of the event
     * @param prefixKey the prefix's hash
     * @param present true if the prefix was added, false if it was removed
     * @return false if earlier events were lost, in which case all known prefixes were discarded first
     */
    public boolean onCacheEvent(long sequence, long prefixKey, boolean present) {
        boolean contiguous = lastCacheSequence < 0 || sequence == lastCacheSequence + 1;
        if (!contiguous) {
            java.util.Arrays.fill(prefixes, 0);
        }
        lastCacheSequence = sequence;
        int bucket = bucketOf(prefixKey);
        if (present) {
            prefixes[bucket] = prefixKey;
        } else if (prefixes[bucket] == prefixKey) {
            prefixes[bucket] = 0;
        }
        return contiguous;
    }

    /**
     * Applies the directory's listing. An endpoint that is absent receives no new calls until it is listed again.
     *
     * @param nowListed whether the directory lists the endpoint
     */
    void onListed(boolean nowListed) {
        listed = nowListed;
    }

    /** Records that the endpoint stated, in its entry or in a response, that it is leaving; holds for its incarnation. */
    public void onLeaving() {
        notices.onLeaving();
    }

    /**
     * Checks whether the endpoint is leaving or absent from the directory.
     *
     * @return true if it accepts no new calls
     */
    public boolean isLeaving() {
        return !listed || notices.isLeaving();
    }

    // -----------------------------------------------------------------------

    /**
     * Records a failed call.
     *
     * @return the number of consecutive failures
     */
    public int onFailure() {
        return ++consecutiveFailures;
    }

    /** Resets the number of consecutive failures. */
    public void onSuccess() {
        consecutiveFailures = 0;
    }

    /**
     * Ejects the endpoint.
     *
     * @param untilNanos the time from which a probe may be sent, in nanoseconds
     */
    public void eject(long untilNanos) {
        ejected = true;
        probing = false;
        ejectedUntil = untilNanos;
        ejections++;
    }

    /**
     * Allows one probe at a time if the ejection time is over.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void allowProbe(long nowNanos) {
        if (ejected && nowNanos >= ejectedUntil) {
            probing = true;
        }
    }

    /**
     * Readmits the endpoint and starts its slow start, in which the selector sends it fewer calls.
     *
     * @param nowNanos the current time, in nanoseconds
     */
    public void readmit(long nowNanos) {
        ejected = false;
        probing = false;
        consecutiveFailures = 0;
        readmittedNanos = nowNanos;
    }

    /** Resets the number of ejections. */
    public void resetEjections() {
        ejections = 0;
    }

    /**
     * Checks whether the endpoint is ejected.
     *
     * @return true if it is
     */
    public boolean isEjected() {
        return ejected;
    }

    /**
     * Gets the number of ejections since the last reset.
     *
     * @return the count
     */
    public int getEjections() {
        return ejections;
    }

    /**
     * Gets the time at which the endpoint was last readmitted.
     *
     * @return the time in nanoseconds, {@link Long#MIN_VALUE} if it never was readmitted
     */
    public long getReadmittedNanos() {
        return readmittedNanos;
    }

    private static int bucketOf(long prefixKey) {
        return (int) (prefixKey ^ (prefixKey >>> 32)) & (PREFIX_BUCKETS - 1);
    }
}
