package org.fuchsiawharf.core.limits;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.model.Workspace;

/**
 * Counts the running requests of each workspace.
 *
 * <p>A workspace without running requests uses no memory. Confined to the decision loop.
 */
public final class WorkspaceCounts {
    private final Map<String, Integer> running = new HashMap<>();

    /**
     * Increments the count of a workspace unless its limit is reached.
     *
     * @param workspace the workspace, not null
     * @return false if the limit is reached
     */
    public boolean tryAcquire(Workspace workspace) {
        int count = running.getOrDefault(workspace.name(), 0);
        if (count >= workspace.maxConcurrent()) {
            return false;
        }
        running.put(workspace.name(), count + 1);
        return true;
    }

    /**
     * Decrements the count of a workspace.
     *
     * @param workspace the workspace, not null
     */
    public void release(Workspace workspace) {
        running.computeIfPresent(workspace.name(), (name, count) -> count > 1 ? count - 1 : null);
    }
}
