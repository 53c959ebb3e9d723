package org.fuchsiawharf.core.route;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The keys with which callers name their workspaces.
 *
 * <p>Whether a key is required does not depend on whether any workspace holds one: when the last key is revoked, no
 * request is allowed. Immutable and thread-safe.
 *
 * @param byKey the workspace of each key, not null
 * @param required whether routes that are not open require a key
 */
public record WorkspaceKeys(Map<String, Workspace> byKey, boolean required) {
    /** The keys of a deployment without workspaces. */
    public static final WorkspaceKeys NOT_REQUIRED = new WorkspaceKeys(Map.of(), false);

    /** Makes the map immutable. */
    public WorkspaceKeys {
        byKey = Map.copyOf(byKey);
    }

    /**
     * Creates the keys of a deployment with workspaces.
     *
     * @param byKey the workspace of each key, empty if no workspace holds a key, not null
     * @return the keys, never null
     */
    public static WorkspaceKeys of(Map<String, Workspace> byKey) {
        return new WorkspaceKeys(byKey, true);
    }

    /**
     * Finds the workspace to which a key belongs.
     *
     * @param key the key, null if the request has no key
     * @return the workspace, null if the key is null or belongs to no workspace
     */
    public @Nullable Workspace find(@Nullable String key) {
        return key == null ? null : byKey.get(key);
    }
}
