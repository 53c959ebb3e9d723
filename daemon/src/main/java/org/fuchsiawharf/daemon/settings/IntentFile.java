package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import com.fasterxml.jackson.databind.JsonNode;
import org.fuchsiawharf.core.config.ConfigDocument;
import org.fuchsiawharf.core.config.Intent;

/**
 * Reads an operator's intent: a whole configuration, or a patch with {@code set} and {@code remove}.
 *
 * <p>Stateless and thread-safe.
 */
public final class IntentFile {
    private IntentFile() {}

    /**
     * Reads an intent.
     *
     * @param file the YAML file, not null
     * @return the intent, never null
     * @throws org.fuchsiawharf.core.error.WharfException if the file can't be read or has errors
     */
    public static Intent read(Path file) {
        if (SettingsFile.hasKey(file, "set") || SettingsFile.hasKey(file, "remove")) {
            JsonNode root = SettingsFile.parse(file);
            Map<String, JsonNode> set = new LinkedHashMap<>();
            root.path("set").fields().forEachRemaining(item -> set.put(item.getKey(), item.getValue()));
            List<String> remove = new ArrayList<>();
            root.path("remove").forEach(item -> remove.add(item.asText()));
            return new Intent(false, set, remove);
        }
        return new Intent(true, ConfigDocument.of(ConfigurationFile.read(file)).items(), List.of());
    }
}
