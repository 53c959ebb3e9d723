package org.fuchsiawharf.core.route;

import org.jspecify.annotations.Nullable;

/**
 * A workspace, which is identified in requests by its keys.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the name of the workspace
 * @param priority the priority rank, which takes precedence over that of a route; null to use the rank of the route
 */
public record Workspace(String name, @Nullable Integer priority) {}
