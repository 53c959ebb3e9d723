package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.Locale;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;

/**
 * The kinds of settings files, told apart by their top keys.
 *
 * <p>Immutable and thread-safe.
 */
public enum SettingsKind {
    ENTRY("instance"),
    CONFIGURATION("pipelines"),
    STANDIN("zones"),
    WORKLOAD("requests");

    private final String key;

    SettingsKind(String key) {
        this.key = key;
    }

    /**
     * Gets the kind's name for people.
     *
     * @return the lower-case name, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT) + " settings";
    }

    /**
     * Reads a file of any kind.
     *
     * @param file the YAML file, not null
     * @return its kind, never null
     * @throws WharfException if the file is of no kind or has errors, naming all of them
     */
    public static SettingsKind check(Path file) {
        for (SettingsKind kind : values()) {
            if (SettingsFile.hasKey(file, kind.key)) {
                kind.read(file);
                return kind;
            }
        }
        throw new WharfException(
                ErrorCode.SETTINGS_INVALID,
                file + ": has none of the keys instance, pipelines, zones and requests that tell its kind");
    }

    private void read(Path file) {
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
