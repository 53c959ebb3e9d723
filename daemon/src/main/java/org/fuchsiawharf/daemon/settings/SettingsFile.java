package org.fuchsiawharf.daemon.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.function.Function;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.yaml.YAMLMapper;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.jspecify.annotations.Nullable;

/**
 * Reads YAML files and builds validated values from them.
 *
 * <p>Stateless and thread-safe.
 */
final class SettingsFile {
    private static final YAMLMapper MAPPER = new YAMLMapper();

    private SettingsFile() {}

    /**
     * Reads a file.
     *
     * @param <T> the value's type
     * @param file the file, not null
     * @param builder the function that builds the value from the top-level mapping, not null
     * @return the value, never null
     * @throws WharfException if the file can't be read or has errors; the message lists all of them
     */
    static <T> T read(Path file, Function<SettingsNode, T> builder) {
        SettingsErrors errors = new SettingsErrors(file.toString());
        SettingsNode root = new SettingsNode(parse(file), "", errors);
        @Nullable T value = root.build(builder, null);
        root.reportUnknownKeys();
        errors.throwIfAny();
        if (value == null) {
            throw new WharfException(
                    ErrorCode.SETTINGS_INVALID, file + ": no valid value can be built from the settings");
        }
        return value;
    }

    /**
     * Checks whether the top-level mapping of a file contains a key.
     *
     * @param file the file, not null
     * @param key the key, not null
     * @return true if the mapping contains the key
     * @throws WharfException if the file can't be read
     */
    static boolean hasKey(Path file, String key) {
        return parse(file).has(key);
    }

    /**
     * Reads a file as a tree.
     *
     * @param file the file, not null
     * @return the tree, never null
     * @throws WharfException if the file can't be read or is not valid YAML
     */
    static JsonNode parse(Path file) {
        try {
            return MAPPER.readTree(Files.readString(file));
        } catch (JsonProcessingException e) {
            throw new WharfException(ErrorCode.SETTINGS_INVALID, file + ": invalid YAML: " + e.getOriginalMessage(), e);
        } catch (IOException e) {
            throw new WharfException(ErrorCode.SETTINGS_INVALID, file + ": can't be read: " + e.getMessage(), e);
        }
    }
}
