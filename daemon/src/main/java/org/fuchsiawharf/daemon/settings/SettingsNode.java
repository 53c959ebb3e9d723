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
 * A YAML mapping in a settings file.
 *
 * <p>Reading continues after an error, and all errors are collected. For an invalid value a method returns a fallback
 * such as a bound or a placeholder, which is never used because {@link SettingsErrors#throwIfAny} throws. Keys that
 * were not read are unknown and are reported by {@link #reportUnknownKeys}. Confined to one thread.
 */
final class SettingsNode {
    private static final String PLACEHOLDER_TEXT = "refused";
    private static final HttpTarget PLACEHOLDER_ADDRESS = new HttpTarget("127.0.0.1", 1);

    private final JsonNode node;
    private final String path;
    private final SettingsErrors errors;
    private final Set<String> readKeys = new HashSet<>();

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
     * Reads a string.
     *
     * @param key the key, not null
     * @param defaultValue the value if the key is absent, null if the key is required
     * @return the string, never null
     */
    String text(String key, @Nullable String defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            if (defaultValue == null) {
                errors.add(pathOf(key), "absent", "a string");
            }
            return defaultValue == null ? PLACEHOLDER_TEXT : defaultValue;
        }
        if (!value.isValueNode()) {
            errors.add(pathOf(key), value.toString(), "a string");
            return PLACEHOLDER_TEXT;
        }
        return value.asText();
    }

    /**
     * Reads a required name.
     *
     * @param key the key, not null
     * @return the well-formed name, never null
     */
    String name(String key) {
        return parseOrReport(key, text(key, null), PLACEHOLDER_TEXT, text -> Arguments.name(text, pathOf(key)));
    }

    /**
     * Reads a required address.
     *
     * @param key the key, not null
     * @return the address, never null
     */
    HttpTarget address(String key) {
        return parseOrReport(key, text(key, null), PLACEHOLDER_ADDRESS, HttpTarget::parse);
    }

    private <T> T parseOrReport(String key, String text, T fallback, Function<String, T> parser) {
        if (!has(key)) {
            return fallback;
        }
        try {
            return parser.apply(text);
        } catch (ArgumentException e) {
            errors.add(pathOf(key), e.getValue(), e.getAllowedValues());
            return fallback;
        }
    }

    /**
     * Reads an integer.
     *
     * @param key the key, not null
     * @param min the smallest allowed value
     * @param max the largest allowed value
     * @param defaultValue the value if the key is absent, null if the key is required
     * @return the number, or the lower bound if the number is invalid or is absent without a default
     */
    long number(String key, long min, long max, @Nullable Long defaultValue) {
        JsonNode value = get(key);
        String allowed = "an integer from " + min + " to " + max;
        if (value == null) {
            if (defaultValue == null) {
                errors.add(pathOf(key), "absent", allowed);
            }
            return defaultValue == null ? min : defaultValue;
        }
        if (!value.isIntegralNumber() || value.asLong() < min || value.asLong() > max) {
            errors.add(pathOf(key), value.asText(value.toString()), allowed);
            return min;
        }
        return value.asLong();
    }

    /**
     * Reads a boolean.
     *
     * @param key the key, not null
     * @param defaultValue the value if the key is absent
     * @return the value
     */
    boolean flag(String key, boolean defaultValue) {
        JsonNode value = get(key);
        if (value == null) {
            return defaultValue;
        }
        if (!value.isBoolean()) {
            errors.add(pathOf(key), value.asText(value.toString()), "true or false");
            return defaultValue;
        }
        return value.asBoolean();
    }

    /**
     * Reads an enum constant.
     *
     * @param <E> the enum type
     * @param key the key, not null
     * @param type the enum class, not null
     * @param defaultValue the value if the key is absent, null if the key is required
     * @return the constant, never null
     */
    <E extends Enum<E>> E choice(String key, Class<E> type, @Nullable E defaultValue) {
        E[] constants = type.getEnumConstants();
        List<String> allowed = new ArrayList<>();
        for (E constant : constants) {
            allowed.add(constant.name().toLowerCase(Locale.ROOT));
        }
        JsonNode value = get(key);
        if (value == null && defaultValue != null) {
            return defaultValue;
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
     * Reads a mapping.
     *
     * @param key the key, not null
     * @return the mapping, empty if the key is absent, never null
     */
    SettingsNode child(String key) {
        JsonNode value = get(key);
        return new SettingsNode(value == null ? MissingNode.getInstance() : value, pathOf(key), errors);
    }

    /**
     * Reads a list of mappings.
     *
     * @param key the key, not null
     * @return the mappings, never null, empty if the key is absent
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
     * Reads a list of strings.
     *
     * @param key the key, not null
     * @return the strings, never null, empty if the key is absent
     */
    List<String> texts(String key) {
        List<String> texts = new ArrayList<>();
        JsonNode value = get(key);
        if (value != null && !value.isArray()) {
            errors.add(pathOf(key), value.toString(), "a list of strings");
        } else if (value != null) {
            value.forEach(item -> texts.add(item.asText()));
        }
        return texts;
    }

    /**
     * Builds a value whose constructor validates its arguments, and reports rejected arguments as errors.
     *
     * @param <T> the value's type
     * @param builder the function that builds the value, not null
     * @param fallback the value to return for rejected arguments, may be null
     * @return the value, or the fallback
     */
    <T> @Nullable T build(Function<SettingsNode, T> builder, @Nullable T fallback) {
        int previousErrors = errors.size();
        try {
            return builder.apply(this);
        } catch (WharfException e) {
            if (errors.size() == previousErrors) {
                errors.add(path.isEmpty() ? "file" : path, "refused", String.valueOf(e.getMessage()));
            }
            return fallback;
        }
    }

    /** Reports every key that was not read as unknown. */
    void reportUnknownKeys() {
        Iterator<String> names = node.fieldNames();
        while (names.hasNext()) {
            String name = names.next();
            if (!readKeys.contains(name)) {
                errors.add(
                        pathOf(name),
                        "unknown key",
                        "one of " + String.join(", ", readKeys.stream().sorted().toList()));
            }
        }
    }

    private @Nullable JsonNode get(String key) {
        readKeys.add(key);
        JsonNode value = node.get(key);
        return value == null || value.isNull() ? null : value;
    }
}
