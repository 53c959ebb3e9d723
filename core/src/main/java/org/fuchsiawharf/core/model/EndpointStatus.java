package org.fuchsiawharf.core.model;

/**
 * An endpoint and its status as listed in the platform's directory.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint, not null
 * @param leaving whether the endpoint is leaving and must receive no new work
 * @param incarnation the number that distinguishes restarts of an endpoint of the same name, 0 if not listed
 * @param version the version of the software of this incarnation, empty if not listed
 * @param coldUntilNanos the time at which the endpoint is warm, on the clock of the timer service, in nanoseconds; {@link
 *     Long#MIN_VALUE} if the directory does not state that it is cold
 */
public record EndpointStatus(
        Endpoint endpoint, boolean leaving, long incarnation, String version, long coldUntilNanos) {
    /**
     * Creates a status of an endpoint that is not stated to be cold.
     *
     * @param endpoint the endpoint, not null
     * @param leaving whether the endpoint is leaving and must receive no new work
     * @param incarnation the number that distinguishes restarts of an endpoint of the same name, 0 if not listed
     * @param version the version of the software of this incarnation, empty if not listed
     */
    public EndpointStatus(Endpoint endpoint, boolean leaving, long incarnation, String version) {
        this(endpoint, leaving, incarnation, version, Long.MIN_VALUE);
    }

    /**
     * Creates a status without a software version.
     *
     * @param endpoint the endpoint, not null
     * @param leaving whether the endpoint is leaving and must receive no new work
     * @param incarnation the number that distinguishes restarts of an endpoint of the same name, 0 if not listed
     */
    public EndpointStatus(Endpoint endpoint, boolean leaving, long incarnation) {
        this(endpoint, leaving, incarnation, "");
    }

    /**
     * Creates a status without an incarnation.
     *
     * @param endpoint the endpoint, not null
     * @param leaving whether the endpoint is leaving and must receive no new work
     */
    public EndpointStatus(Endpoint endpoint, boolean leaving) {
        this(endpoint, leaving, 0);
    }
}
