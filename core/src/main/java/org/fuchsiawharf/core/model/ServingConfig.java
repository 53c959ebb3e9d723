package org.fuchsiawharf.core.model;

import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * The configuration in force: pipelines, service calls and workspaces.
 *
 * <p>Immutable and thread-safe.
 *
 * @param revision the configuration's revision, increasing
 * @param pipelines pipelines by name
 * @param services plain service calls by {@code service/call}, each a pipeline of one stage
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
     * @return the pipeline, null if none has the name
     */
    public @Nullable Pipeline getPipeline(String name) {
        return pipelines.get(name);
    }

    /**
     * Gets the pipeline of one stage that stands for a plain service call.
     *
     * @param service the service's name, not null
     * @param call the call's name, not null
     * @return the pipeline, null if the call is not configured
     */
    public @Nullable Pipeline getServiceCall(String service, String call) {
        return services.get(service + "/" + call);
    }

    /**
     * Gets a workspace.
     *
     * @param name the workspace's name, not null
     * @return the workspace, null if none has the name
     */
    public @Nullable Workspace getWorkspace(String name) {
        return workspaces.get(name);
    }
}
