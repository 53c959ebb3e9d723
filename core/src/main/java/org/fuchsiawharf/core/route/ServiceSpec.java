package org.fuchsiawharf.core.route;

import org.fuchsiawharf.core.util.Arguments;
import org.jspecify.annotations.Nullable;

/**
 * A service to which requests or pieces are sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the service
 * @param pieces the capacity of its endpoints for pieces, null if the service is not a stage service
 * @param maxConnections the maximum number of connections that each endpoint accepts from all callers together
 * @param coldStart what its endpoints bear while they are cold
 */
public record ServiceSpec(String name, @Nullable PieceService pieces, int maxConnections, ColdStart coldStart) {
    /** Checks the maximum. */
    public ServiceSpec {
        Arguments.between(maxConnections, 1, Integer.MAX_VALUE, "maxConnections of " + name);
    }

    /**
     * Creates a service whose endpoints are not limited while they are cold.
     *
     * @param name the name of the service, not null
     * @param pieces the capacity of its endpoints for pieces, null if the service is not a stage service
     * @param maxConnections the maximum number of connections that each endpoint accepts from all callers together
     */
    public ServiceSpec(String name, @Nullable PieceService pieces, int maxConnections) {
        this(name, pieces, maxConnections, ColdStart.NONE);
    }

    /**
     * Creates a service whose endpoints accept any number of connections.
     *
     * @param name the name of the service, not null
     * @param pieces the capacity of its endpoints for pieces, null if the service is not a stage service
     */
    public ServiceSpec(String name, @Nullable PieceService pieces) {
        this(name, pieces, Integer.MAX_VALUE);
    }
}
