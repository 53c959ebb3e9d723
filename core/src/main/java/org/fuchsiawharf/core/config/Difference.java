package org.fuchsiawharf.core.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.NullNode;
import org.jspecify.annotations.Nullable;

/**
 * How a plan changes one item.
 *
 * <p>Immutable and thread-safe.
 *
 * @param item the item's name
 * @param before its value before, JSON null if there was none
 * @param after its value after, JSON null if there is none
 * @param words the change in words
 */
public record Difference(String item, JsonNode before, JsonNode after, String words) {
    /**
     * Describes a change.
     *
     * @param item the item's name, not null
     * @param before its value before, null if there was none
     * @param after its value after, null if there is none
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
        StringBuilder words = new StringBuilder(item);
        String join = " changes ";
        var names = after.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!after.get(name).equals(before.get(name))) {
                words.append(join).append(name).append(" from ").append(before.get(name));
                words.append(" to ").append(after.get(name));
                join = ", ";
            }
        }
        return words.toString();
    }
}
