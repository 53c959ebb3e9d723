package org.fuchsiawharf.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.jspecify.annotations.Nullable;

/**
 * The change of one item by a plan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param item the name of the item
 * @param before the value before the change, JSON null if the item is added
 * @param after the value after the change, JSON null if the item is removed
 * @param words the description of the change
 */
public record Difference(String item, JsonNode before, JsonNode after, String words) {
    /**
     * Creates the difference between two values of an item.
     *
     * @param item the name of the item, not null
     * @param before the value before the change, null if the item is added
     * @param after the value after the change, null if the item is removed
     * @return the difference, never null
     */
    static Difference of(String item, @Nullable JsonNode before, @Nullable JsonNode after) {
        JsonNode old = before == null ? NullNode.getInstance() : before;
        JsonNode changed = after == null ? NullNode.getInstance() : after;
        return new Difference(item, old, changed, describe(item, old, changed));
    }

    private static String describe(String item, JsonNode before, JsonNode after) {
        if (before.isNull()) {
            return item + " is added";
        }
        if (after.isNull()) {
            return item + " is removed";
        }
        StringBuilder description = new StringBuilder(item);
        String separator = " changes ";
        var names = after.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!after.get(name).equals(before.get(name))) {
                description.append(separator).append(name).append(" from ").append(before.get(name));
                description.append(" to ").append(after.get(name));
                separator = ", ";
            }
        }
        return description.toString();
    }
}
