package org.fuchsiawharf.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A service to which requests or pieces are sent.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the service
 * @param pieces the capacity of its endpoints for pieces, null if the service is not a stage service
 */
public record ServiceSpec(String name, @Nullable PieceService pieces) {}
