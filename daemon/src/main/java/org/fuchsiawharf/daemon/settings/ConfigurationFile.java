package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.model.Workspace;

/**
 * Reads the pipelines, services and workspaces of a deployment.
 *
 * <p>Stateless and thread-safe.
 */
public final class ConfigurationFile {
    private static final long MAX_CONCURRENT_LIMIT = 100_000;

    private ConfigurationFile() {}

    /**
     * Reads and validates a configuration.
     *
     * @param file the YAML file, not null
     * @return the configuration, never null
     * @throws org.fuchsiawharf.core.error.WharfException if the file has errors; the message lists all of them
     */
    public static ServingConfig read(Path file) {
        return SettingsFile.read(file, ConfigurationFile::toConfig);
    }

    private static ServingConfig toConfig(SettingsNode root) {
        long revision = root.number("revision", 1, Long.MAX_VALUE, 1L);
        Map<String, Pipeline> pipelines = new LinkedHashMap<>();
        for (SettingsNode node : root.children("pipelines")) {
            Pipeline pipeline = node.build(ConfigurationFile::toPipeline, null);
            node.reportUnknownKeys();
            if (pipeline != null) {
                pipelines.put(pipeline.name(), pipeline);
            }
        }
        Map<String, Pipeline> services = new LinkedHashMap<>();
        for (SettingsNode node : root.children("services")) {
            addService(node, services);
        }
        Map<String, Workspace> workspaces = new LinkedHashMap<>();
        for (SettingsNode node : root.children("workspaces")) {
            Workspace workspace = node.build(ConfigurationFile::toWorkspace, null);
            node.reportUnknownKeys();
            if (workspace != null) {
                workspaces.put(workspace.name(), workspace);
            }
        }
        return new ServingConfig(revision, pipelines, services, workspaces);
    }

    private static Pipeline toPipeline(SettingsNode node) {
        String name = node.name("name");
        List<StageSpec> stages = node.children("stages").stream()
                .map(stage -> {
                    StageSpec spec = toStage(stage);
                    stage.reportUnknownKeys();
                    return spec;
                })
                .toList();
        return new Pipeline(name, stages);
    }

    private static StageSpec toStage(SettingsNode node) {
        return new StageSpec(
                node.name("name"), node.name("service"), node.flag("repeatable", true), node.flag("streaming", false));
    }

    private static void addService(SettingsNode node, Map<String, Pipeline> services) {
        String service = node.name("name");
        for (SettingsNode call : node.children("calls")) {
            String name = call.name("name");
            boolean repeatable = call.flag("repeatable", false);
            call.reportUnknownKeys();
            Pipeline pipeline = call.build(
                    n -> new Pipeline(service, List.of(new StageSpec(name, service, repeatable, false))), null);
            if (pipeline != null) {
                services.put(service + "/" + name, pipeline);
            }
        }
        node.reportUnknownKeys();
    }

    private static Workspace toWorkspace(SettingsNode node) {
        return new Workspace(
                node.name("name"),
                (int) node.number("weight", 1, 1_000, 1L),
                (int) node.number("maxConcurrent", 1, MAX_CONCURRENT_LIMIT, 1_000L),
                node.choice("priority", Priority.class, Priority.NORMAL));
    }
}
