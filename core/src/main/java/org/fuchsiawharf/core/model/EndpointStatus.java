package org.fuchsiawharf.core.model;

/**
 * An endpoint as the platform's directory lists it.
 *
 * <p>Immutable and thread-safe.
 *
 * @param endpoint the endpoint, not null
 * @param leaving whether it should receive no new work
 */
public record EndpointStatus(Endpoint endpoint, boolean leaving) {}
