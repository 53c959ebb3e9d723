package org.fuchsiawharf.core.model;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A revision of the serving configuration: pipelines, service calls and workspaces.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the revision number, increasing with each change
 * @param pipelines pipelines by name
 * @param services calls to services outside pipelines by {@code service/call}, each as a pipeline of one stage
 * @param workspaces workspaces by name
 */
public record ServingConfig(
        long revision,
        Map<String, Pipeline> pipelines,
        Map<String, Pipeline> services,
        Map<String, Workspace> workspaces) {
    /** Copies the maps. */
    public ServingConfig {
        pipelines = Map.copyOf(pipelines);
        services = Map.copyOf(services);
        workspaces = Map.copyOf(workspaces);
    }

    /**
     * Gets a pipeline.
     *
     * @param name the pipeline's name, not null
     * @return the pipeline, null if not configured
     */
    public @Nullable Pipeline getPipeline(String name) {
        return pipelines.get(name);
    }

    /**
     * Gets the single-stage pipeline of a call to a service outside pipelines.
     *
     * @param service the service's name, not null
     * @param call the call's name, not null
     * @return the pipeline, null if not configured
     */
    public @Nullable Pipeline getServiceCall(String service, String call) {
        return services.get(service + "/" + call);
    }

    /**
     * Gets a workspace.
     *
     * @param name the workspace's name, not null
     * @return the workspace, null if not configured
     */
    public @Nullable Workspace getWorkspace(String name) {
        return workspaces.get(name);
    }
}
