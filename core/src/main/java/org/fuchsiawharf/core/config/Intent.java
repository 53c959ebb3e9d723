package org.fuchsiawharf.core.config;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * A configuration change requested by an operator.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replace whether items that are not in {@code set} are removed
 * @param set the new values of items, by item name
 * @param remove the names of the items to remove
 */
public record Intent(boolean replace, Map<String, JsonNode> set, List<String> remove) {
    /**
     * Creates a change with immutable copies of the collections.
     *
     * @param replace whether items that are not in {@code set} are removed
     * @param set the new values of items, by item name, null for none
     * @param remove the names of the items to remove, null for none
     */
    public Intent(boolean replace, @Nullable Map<String, JsonNode> set, @Nullable List<String> remove) {
        this.replace = replace;
        this.set = set == null ? Map.of() : Map.copyOf(set);
        this.remove = remove == null ? List.of() : List.copyOf(remove);
    }
}
