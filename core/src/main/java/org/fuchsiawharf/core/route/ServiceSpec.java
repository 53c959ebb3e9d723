package org.fuchsiawharf.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A service that requests or pieces go to.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the service's name
 * @param pieces how its endpoints work on pieces, null if it is no stage service
 */
public record ServiceSpec(String name, @Nullable PieceService pieces) {}
