package org.fuchsiawharf.core.config;

import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.jspecify.annotations.Nullable;

/**
 * What an operator wants changed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param replace whether items that are not set are removed
 * @param set items by name with their new values
 * @param remove names of items to remove
 */
public record Intent(boolean replace, Map<String, JsonNode> set, List<String> remove) {
    /**
     * Copies the parts; an absent one is empty.
     *
     * @param replace whether items that are not set are removed
     * @param set items to set, null for none
     * @param remove items to remove, null for none
     */
    public Intent(boolean replace, @Nullable Map<String, JsonNode> set, @Nullable List<String> remove) {
        this.replace = replace;
        this.set = set == null ? Map.of() : Map.copyOf(set);
        this.remove = remove == null ? List.of() : List.copyOf(remove);
    }
}
