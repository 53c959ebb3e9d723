package org.fuchsiawharf.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A workspace that holds keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the workspace's name
 * @param priority its rank, which goes before that of a route; null to leave it to the route
 */
public record Workspace(String name, @Nullable Integer priority) {}
