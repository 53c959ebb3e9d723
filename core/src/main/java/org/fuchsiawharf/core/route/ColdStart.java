package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;

/**
 * What the endpoints of a service bear while they are cold, that is for some time after their start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param durationMillis the time for which an endpoint is cold after its start, in milliseconds, at least 0
 * @param requestsPerSecond the requests per second that a cold endpoint bears from all instances together; 0 if cold
 *     endpoints are not limited
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {
    /** Endpoints that bear any number of requests as soon as they have started. */
    public static final ColdStart NONE = new ColdStart(0, 0);

    private static final long MAX_DURATION_MILLIS = 3_600_000;

    /** Checks the duration and the rate. */
    public ColdStart {
        Arguments.between(durationMillis, 0, MAX_DURATION_MILLIS, "cold start durationMillis");
        Arguments.between(requestsPerSecond, 0, Double.MAX_VALUE, "cold start requestsPerSecond");
    }

    /**
     * Checks whether cold endpoints are limited.
     *
     * @return false if they bear any number of requests
     */
    public boolean isLimited() {
        return durationMillis > 0 && requestsPerSecond > 0;
    }
}
