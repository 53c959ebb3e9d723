package org.fuchsiawharf.daemon.settings;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.function.Function;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.MissingNode;
import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.util.Arguments;
import org.fuchsiawharf.http.client.HttpTarget;
import org.jspecify.annotations.Nullable;

/**
 * One mapping of a settings file.
 *
 * <p>Reading collects every error instead of stopping at the first; a refused value reads as its default or as a
 * stand-in that is never used, since {@link SettingsErrors#check} throws. Keys that were not read are unknown and
 * reported by {@link #end}. Confined to one thread.
 */
final class SettingsNode {
    private static final String REFUSED_NAME = "refused";
    private static final HttpTarget REFUSED_ADDRESS = new HttpTarget("127.0.0.1", 1);

    private final JsonNode node;
    private final String path;
    private final SettingsErrors errors;
    private final Set<String> known = new HashSet<>();

    SettingsNode(JsonNode node, String path, SettingsErrors errors) {
        this.node = node;
        this.path = path;
        this.errors = errors;
        if (!node.isObject() && !node.isMissingNode()) {
            errors.add(path, node.toString(), "a mapping");
        }
    }

    String pathOf(String key) {
        return path.isEmpty() ? key : path + "." + key;
    }

    boolean has(String key) {
        return get(key) != null;
    }

    /**
     * Reads text.
     *
     * @param key the key, not null
     * @param absent the value where the key is absent, null if it is required
     * @return the text, never null
     */
    String text(String key, @Nullable String absent) {
        JsonNode value = get(key);
        if (value == null) {
            if (absent == null) {
                errors.add(pathOf(key), "absent", "a text");
            }
            return absent == null ? REFUSED_NAME : absent;
        }
        if (!value.isValueNode()) {
            errors.add(pathOf(key), value.toString(), "a text");
            return REFUSED_NAME;
        }
        return value.asText();
    }

    /**
     * Reads a required name.
     *
     * @param key the key, not null
     * @return the name, well-formed, never null
     */
    String name(String key) {
        return checked(key, text(key, null), REFUSED_NAME, text -> Arguments.name(text, pathOf(key)));
    }

    /**
     * Reads a required address.
     *
     * @param key the key, not null
     * @return the address, never null
     */
    HttpTarget address(String key) {
        return checked(key, text(key, null), REFUSED_ADDRESS, HttpTarget::parse);
    }

    private <T> T checked(String key, String text, T refused, Function<String, T> parse) {
        if (!has(key)) {
            return refused;
        }
        try {
            return parse.apply(text);
        } catch (ArgumentException e) {
            errors.add(pathOf(key), e.getValue(), e.getBounds());
            return refused;
        }
    }

    /**
     * Reads a whole number.
     *
     * @param key the key, not null
     * @param min the least allowed value
     * @param max the greatest allowed value
     * @param absent the value where the key is absent, null if it is required
     * @return the number, within the bounds if it was allowed
     */
    long number(String key, long min, long max, @Nullable Long absent) {
        JsonNode value = get(key);
        String allowed = "a whole number from " + min + " to " + max;
        if (value == null) {
            if (absent == null) {
                errors.add(pathOf(key), "absent", allowed);
            }
            return absent == null ? min : absent;
        }
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            errors.add(pathOf(key), value.asText(value.toString()), allowed);
            return min;
        }
        return value.asLong();
    }

    /**
     * Reads true or false.
     *
     * @param key the key, not null
     * @param absent the value where the key is absent
     * @return the value
     */
    boolean flag(String key, boolean absent) {
        JsonNode value = get(key);
        if (value == null) {
            return absent;
        }
        if (!value.isBoolean()) {
            errors.add(pathOf(key), value.asText(value.toString()), "true or false");
            return absent;
        }
        return value.asBoolean();
    }

    /**
     * Reads one of an enumeration's constants.
     *
     * @param <E> the enumeration
     * @param key the key, not null
     * @param type the enumeration, not null
     * @param absent the value where the key is absent, null if it is required
     * @return the constant, never null
     */
    <E extends Enum<E>> E choice(String key, Class<E> type, @Nullable E absent) {
        E[] constants = type.getEnumConstants();
        List<String> allowed = new ArrayList<>();
        for (E constant : constants) {
            allowed.add(constant.name().toLowerCase(Locale.ROOT));
        }
        JsonNode value = get(key);
        if (value == null && absent != null) {
            return absent;
        }
        String text = value == null ? "absent" : value.asText();
        int index = allowed.indexOf(text);
        if (index < 0) {
            errors.add(pathOf(key), text, "one of " + String.join(", ", allowed));
            return constants[0];
        }
        return constants[index];
    }

    /**
     * Reads a mapping, empty where the key is absent.
     *
     * @param key the key, not null
     * @return the mapping, never null
     */
    SettingsNode child(String key) {
        JsonNode value = get(key);
        return new SettingsNode(value == null ? MissingNode.getInstance() : value, pathOf(key), errors);
    }

    /**
     * Reads a list of mappings.
     *
     * @param key the key, not null
     * @return the mappings, never null, empty where the key is absent
     */
    List<SettingsNode> children(String key) {
        List<SettingsNode> children = new ArrayList<>();
        JsonNode value = get(key);
        if (value != null && !value.isArray()) {
            errors.add(pathOf(key), value.toString(), "a list of mappings");
        } else if (value != null) {
            for (int i = 0; i < value.size(); i++) {
                children.add(new SettingsNode(value.get(i), pathOf(key) + "[" + i + "]", errors));
            }
        }
        return children;
    }

    /**
     * Reads a list of texts.
     *
     * @param key the key, not null
     * @return the texts, never null, empty where the key is absent
     */
    List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        JsonNode value = get(key);
        if (value != null && !value.isArray()) {
            errors.add(pathOf(key), value.toString(), "a list of texts");
        } else if (value != null) {
            value.forEach(item -> texts.add(item.asText()));
        }
        return texts;
    }

    /**
     * Builds a value whose constructor checks its arguments, and reports what it refuses.
     *
     * @param <T> the value's type
     * @param build builds the value, not null
     * @param refused what stands in for a refused value, null if nothing can
     * @return the value, or the stand-in
     */
    <T> @Nullable T build(Function<SettingsNode, T> build, @Nullable T refused) {
        int before = errors.size();
        try {
            return build.apply(this);
        } catch (WharfException e) {
            if (errors.size() == before) {
                errors.add(path.isEmpty() ? "file" : path, "refused", String.valueOf(e.getMessage()));
            }
            return refused;
        }
    }

    /** Reports every key that was not read. */
    void end() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!known.contains(name)) {
                errors.add(
                        pathOf(name),
                        "unknown key",
                        "one of " + String.join(", ", known.stream().sorted().toList()));
            }
        }
    }

    private @Nullable JsonNode get(String key) {
        known.add(key);
        JsonNode value = node.get(key);
        return value == null || value.isNull() ? null : value;
    }
}
