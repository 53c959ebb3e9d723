package org.fuchsiawharf.core.model;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A customer's share of the deployment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the workspace's name
 * @param weight the share under contention relative to other workspaces, 1 to 1,000
 * @param maxConcurrent the greatest number of requests running at once on one instance, 1 to 100,000
 * @param priority the priority of requests that name none
 */
public record Workspace(String name, int weight, int maxConcurrent, Priority priority) {
    /**
     * Checks name and bounds.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if one is out of bounds
     */
    public Workspace {
        Arguments.name(name, "workspace.name");
        Arguments.between(weight, 1, 1_000, "workspace.weight of " + name);
        Arguments.between(maxConcurrent, 1, 100_000, "workspace.maxConcurrent of " + name);
        Arguments.notNull(priority, "workspace.priority of " + name);
    }
}
