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
 * A configuration as a set of named items, which are compared and changed individually.
 *
 * <p>An item name consists of the kind and the name of the object, as in {@code workspaces/trial}. Immutable and
 * thread-safe.
 *
 * @param items the JSON values by item name
 */
public record ConfigDocument(Map<String, JsonNode> items) {
    private static final String PIPELINE_PREFIX = "pipelines/";
    private static final String SERVICE_PREFIX = "services/";
    private static final String WORKSPACE_PREFIX = "workspaces/";
    private static final int WORKSPACE_SHARDS = 16;

    /** Makes the map of items immutable. */
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
        config.pipelines().forEach((name, value) -> items.put(PIPELINE_PREFIX + name, Json.toTree(value)));
        config.services().forEach((name, value) -> items.put(SERVICE_PREFIX + name, Json.toTree(value)));
        config.workspaces().forEach((name, value) -> items.put(WORKSPACE_PREFIX + name, Json.toTree(value)));
        return new ConfigDocument(items);
    }

    /**
     * Creates the document from the values of its shards.
     *
     * @param shards the values of the shards, not null
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
     * Returns a copy of this document with a change applied.
     *
     * @param intent the change, not null
     * @return the copy, never null
     * @throws WharfException if a changed item is malformed; the message contains the item name
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

    // Converts a value to canonical JSON, so that values with the same meaning compare as equal.
    private static JsonNode toCanonical(String name, JsonNode value) {
        if (name.startsWith(PIPELINE_PREFIX) || name.startsWith(SERVICE_PREFIX)) {
            return Json.toTree(Json.convert(value, Pipeline.class, name));
        }
        return name.startsWith(WORKSPACE_PREFIX) ? Json.toTree(Json.convert(value, Workspace.class, name)) : value;
    }

    /**
     * Validates every item and creates the configuration.
     *
     * @param revision the revision of the configuration
     * @return the configuration, never null
     * @throws WharfException if an item is malformed or its kind is unknown; the message contains the item name
     */
    public ServingConfig toConfig(long revision) {
        Map<String, Pipeline> pipelines = new TreeMap<>();
        Map<String, Pipeline> services = new TreeMap<>();
        Map<String, Workspace> workspaces = new TreeMap<>();
        items.forEach((name, value) -> {
            if (name.startsWith(PIPELINE_PREFIX)) {
                Pipeline pipeline = Json.convert(value, Pipeline.class, name);
                checkName(name, PIPELINE_PREFIX + pipeline.name());
                pipelines.put(pipeline.name(), pipeline);
            } else if (name.startsWith(SERVICE_PREFIX)) {
                services.put(name.substring(SERVICE_PREFIX.length()), Json.convert(value, Pipeline.class, name));
            } else if (name.startsWith(WORKSPACE_PREFIX)) {
                Workspace workspace = Json.convert(value, Workspace.class, name);
                checkName(name, WORKSPACE_PREFIX + workspace.name());
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
     * Splits the document into the values of its shards.
     *
     * @return the values by shard name, never null
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
     * Lists the differences between this document and a later one.
     *
     * @param after the later document, not null
     * @return the differences in the order of the item names, never null
     */
    List<Difference> listDifferences(ConfigDocument after) {
        TreeMap<String, JsonNode> allItems = new TreeMap<>(items);
        allItems.putAll(after.items);
        List<Difference> differences = new ArrayList<>();
        for (String name : allItems.keySet()) {
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
        return item.startsWith(WORKSPACE_PREFIX) ? kind + "-" + Math.floorMod(item.hashCode(), WORKSPACE_SHARDS) : kind;
    }
}
