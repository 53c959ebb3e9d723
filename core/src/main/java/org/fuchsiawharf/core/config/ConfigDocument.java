package org.fuchsiawharf.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.Workspace;

/**
 * A configuration as items that can be compared and changed one by one.
 *
 * <p>An item's name is its kind and its own name, as in {@code workspaces/trial}. Immutable and thread-safe.
 *
 * @param items the items by name
 */
public record ConfigDocument(Map<String, JsonNode> items) {
    private static final String PIPELINES = "pipelines/";
    private static final String SERVICES = "services/";
    private static final String WORKSPACES = "workspaces/";
    private static final int WORKSPACE_SHARDS = 16;

    /** Copies the items. */
    public ConfigDocument {
        items = Map.copyOf(items);
    }

    /**
     * Creates the document of a configuration.
     *
     * @param config the configuration, not null
     * @return the document, never null
     */
    public static ConfigDocument of(ServingConfig config) {
        Map<String, JsonNode> items = new TreeMap<>();
        config.pipelines().forEach((name, value) -> items.put(PIPELINES + name, Json.tree(value)));
        config.services().forEach((name, value) -> items.put(SERVICES + name, Json.tree(value)));
        config.workspaces().forEach((name, value) -> items.put(WORKSPACES + name, Json.tree(value)));
        return new ConfigDocument(items);
    }

    /**
     * Joins the values of shards.
     *
     * @param shards the shards' values, not null
     * @return the document, never null
     * @throws WharfException if a value is malformed
     */
    static ConfigDocument ofShards(Iterable<Payload> shards) {
        Map<String, JsonNode> items = new TreeMap<>();
        for (Payload shard : shards) {
            Json.read(shard, JsonNode.class).fields().forEachRemaining(e -> items.put(e.getKey(), e.getValue()));
        }
        return new ConfigDocument(items);
    }

    /**
     * Applies a change.
     *
     * @param intent the change, not null
     * @return the changed document, never null
     * @throws WharfException if a changed item is malformed, naming it
     */
    public ConfigDocument with(Intent intent) {
        Map<String, JsonNode> changed = new TreeMap<>(items);
        if (intent.replace()) {
            changed.clear();
        }
        intent.remove().forEach(changed::remove);
        intent.set().forEach((name, value) -> changed.put(name, toCanonical(name, value)));
        return new ConfigDocument(changed);
    }

    // The same value is written the same way, so that only real differences show.
    private static JsonNode toCanonical(String name, JsonNode value) {
        if (name.startsWith(PIPELINES) || name.startsWith(SERVICES)) {
            return Json.tree(Json.convert(value, Pipeline.class, name));
        }
        return name.startsWith(WORKSPACES) ? Json.tree(Json.convert(value, Workspace.class, name)) : value;
    }

    /**
     * Checks every item and builds the configuration.
     *
     * @param revision its revision
     * @return the configuration, never null
     * @throws WharfException if an item is malformed or of no known kind, naming it
     */
    public ServingConfig toConfig(long revision) {
        Map<String, Pipeline> pipelines = new TreeMap<>();
        Map<String, Pipeline> services = new TreeMap<>();
        Map<String, Workspace> workspaces = new TreeMap<>();
        items.forEach((name, value) -> {
            if (name.startsWith(PIPELINES)) {
                Pipeline pipeline = Json.convert(value, Pipeline.class, name);
                checkName(name, PIPELINES + pipeline.name());
                pipelines.put(pipeline.name(), pipeline);
            } else if (name.startsWith(SERVICES)) {
                services.put(name.substring(SERVICES.length()), Json.convert(value, Pipeline.class, name));
            } else if (name.startsWith(WORKSPACES)) {
                Workspace workspace = Json.convert(value, Workspace.class, name);
                checkName(name, WORKSPACES + workspace.name());
                workspaces.put(workspace.name(), workspace);
            } else {
                throw new WharfException(
                        ErrorCode.INVALID_ARGUMENT,
                        "item \"" + name + "\" is of no known kind; allowed: pipelines/, services/, workspaces/");
            }
        });
        return new ServingConfig(revision, pipelines, services, workspaces);
    }

    /**
     * Cuts the document into the values that are stored.
     *
     * @return the values by shard, never null
     */
    Map<String, Payload> toShards() {
        Map<String, Map<String, JsonNode>> shards = new TreeMap<>();
        items.forEach((name, value) ->
                shards.computeIfAbsent(shardOf(name), s -> new TreeMap<>()).put(name, value));
        Map<String, Payload> values = new TreeMap<>();
        shards.forEach((shard, content) -> values.put(shard, Json.write(content)));
        return values;
    }

    /**
     * Lists the differences to another document.
     *
     * @param after the other document, not null
     * @return the differences by item name, never null
     */
    List<Difference> listDifferences(ConfigDocument after) {
        TreeMap<String, JsonNode> all = new TreeMap<>(items);
        all.putAll(after.items);
        List<Difference> differences = new ArrayList<>();
        for (String name : all.keySet()) {
            JsonNode old = items.get(name);
            JsonNode changed = after.items.get(name);
            if (old == null || !old.equals(changed)) {
                differences.add(Difference.of(name, old, changed));
            }
        }
        return differences;
    }

    private static void checkName(String item, String expected) {
        if (!item.equals(expected)) {
            throw new WharfException(ErrorCode.INVALID_ARGUMENT, "item \"" + item + "\" holds \"" + expected + "\"");
        }
    }

    private static String shardOf(String item) {
        String kind = item.substring(0, item.indexOf('/'));
        return item.startsWith(WORKSPACES) ? kind + "-" + Math.floorMod(item.hashCode(), WORKSPACE_SHARDS) : kind;
    }
}
