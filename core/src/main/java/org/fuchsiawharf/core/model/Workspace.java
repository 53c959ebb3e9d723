package org.fuchsiawharf.core.model;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A customer of the deployment, with a scheduling weight and a concurrency limit.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the workspace's name
 * @param weight the scheduling weight under contention relative to other workspaces, 1 to 1,000
 * @param maxConcurrent the maximum number of concurrent requests on one instance, 1 to 100,000
 * @param priority the default priority of requests, not null
 */
public record Workspace(String name, int weight, int maxConcurrent, Priority priority) {
    /**
     * Checks the name and the bounds.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if a component is out of bounds
     */
    public Workspace {
        Arguments.name(name, "workspace.name");
        Arguments.between(weight, 1, 1_000, "workspace.weight of " + name);
        Arguments.between(maxConcurrent, 1, 100_000, "workspace.maxConcurrent of " + name);
        Arguments.notNull(priority, "workspace.priority of " + name);
    }
}
