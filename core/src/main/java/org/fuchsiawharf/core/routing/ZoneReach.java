package org.fuchsiawharf.core.routing;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

/**
 * The availability zones whose endpoints this instance probably does not reach.
 *
 * <p>Answers the load of a zone that is cut off: each request that tries one of its endpoints waits for a connect timeout, and an
 * instance that finds the endpoints one by one keeps trying for as long as most cuts last. Once connects to several
 * endpoints of a zone have failed in a row, the zone is suspected for a time; then a single further failure suspects it
 * again. A response from any endpoint of the zone ends the suspicion, a refusal or a failure does not. The instance's own zone is never suspected.
 *
 * <p>Confined to the decision loop.
 */
public final class ZoneReach {
    /** Number of endpoints whose failures in a row suspect a zone; fewer may have failed by themselves. */
    private static final int MIN_ENDPOINTS = 3;
    /** Time for which a zone is suspected after the last failure, about the longest time that a connect takes. */
    private static final long SUSPICION_NANOS = 1_000_000_000L;
    /** Time after which a failure no longer counts. */
    private static final long RETENTION_NANOS = 5_000_000_000L;

    private final String ownZone;
    private final Map<String, Failures> failuresByZone = new HashMap<>();

    private static final class Failures {
        private final Set<String> endpoints = new HashSet<>();
        private long latestNanos;
    }

    /**
     * Creates a state in which every zone is reached.
     *
     * @param ownZone the availability zone of this instance, not null
     */
    public ZoneReach(String ownZone) {
        this.ownZone = ownZone;
    }

    /**
     * Records that no connection to an endpoint could be established.
     *
     * @param zone the availability zone of the endpoint, not null
     * @param endpoint the name of the endpoint, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if the zone is suspected from now on and was not before
     */
    public boolean onNotConnected(String zone, String endpoint, long nowNanos) {
        if (zone.equals(ownZone)) {
            return false;
        }
        boolean suspected = isSuspected(zone, nowNanos);
        Failures failures = failuresByZone.computeIfAbsent(zone, z -> new Failures());
        if (nowNanos - failures.latestNanos > RETENTION_NANOS) {
            failures.endpoints.clear();
        }
        failures.endpoints.add(endpoint);
        failures.latestNanos = nowNanos;
        return !suspected && isSuspected(zone, nowNanos);
    }

    /**
     * Records a response from an endpoint that shows that its zone is reached.
     *
     * @param zone the availability zone of the endpoint, not null
     */
    public void onResponse(String zone) {
        failuresByZone.remove(zone);
    }

    /**
     * Checks whether a zone is probably not reached.
     *
     * @param zone the availability zone, not null
     * @param nowNanos the current time, in nanoseconds
     * @return true if its endpoints are to be used only if there are no others
     */
    public boolean isSuspected(String zone, long nowNanos) {
        Failures failures = failuresByZone.get(zone);
        return failures != null
                && failures.endpoints.size() >= MIN_ENDPOINTS
                && nowNanos - failures.latestNanos < SUSPICION_NANOS;
    }
}
