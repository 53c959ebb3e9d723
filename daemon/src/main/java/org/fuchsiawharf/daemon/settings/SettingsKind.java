package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.Locale;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;

/**
 * The kinds of settings files, which are identified by their top-level keys.
 *
 * <p>Immutable and thread-safe.
 */
public enum SettingsKind {
    ENTRY("instance"),
    CONFIGURATION("pipelines"),
    STANDIN("zones"),
    WORKLOAD("requests");

    private final String topLevelKey;

    SettingsKind(String topLevelKey) {
        this.topLevelKey = topLevelKey;
    }

    /**
     * Gets the display name of the kind.
     *
     * @return the lower-case name followed by "settings", never null
     */
    public String getDisplayName() {
        return name().toLowerCase(Locale.ROOT) + " settings";
    }

    /**
     * Detects the kind of a file and validates the file.
     *
     * @param file the YAML file, not null
     * @return the kind of the file, never null
     * @throws WharfException if the kind can't be determined or the file has errors; the message lists all
     *     of them
     */
    public static SettingsKind check(Path file) {
        for (SettingsKind kind : values()) {
            if (SettingsFile.hasKey(file, kind.topLevelKey)) {
                kind.validate(file);
                return kind;
            }
        }
        throw new WharfException(
                ErrorCode.SETTINGS_INVALID,
                file + ": unknown kind; one of the keys instance, pipelines, zones and requests is required");
    }

    private void validate(Path file) {
        switch (this) {
            case ENTRY:
                EntrySettings.read(file);
                break;
            case CONFIGURATION:
                ConfigurationFile.read(file);
                break;
            case STANDIN:
                StandinSettings.read(file);
                break;
            default:
                WorkloadSettings.read(file);
                break;
        }
    }
}
