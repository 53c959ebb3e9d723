package org.fuchsiawharf.core.model;

/**
 * An endpoint as the platform's directory lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint, not null
 * @param leaving whether it should receive no new work
 * @param incarnation tells starts of an endpoint under one name apart, 0 if the directory does not say
 */
public record EndpointStatus(Endpoint endpoint, boolean leaving, long incarnation) {
    /**
     * Creates a status of an endpoint whose starts are not told apart.
     *
     * @param endpoint the endpoint, not null
     * @param leaving whether it should receive no new work
     */
    public EndpointStatus(Endpoint endpoint, boolean leaving) {
        this(endpoint, leaving, 0);
    }
}
