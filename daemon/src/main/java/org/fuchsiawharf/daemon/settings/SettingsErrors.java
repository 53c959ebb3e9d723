package org.fuchsiawharf.daemon.settings;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;

/**
 * The errors found in one settings file.
 *
 * <p>Confined to one thread.
 */
final class SettingsErrors {
    private final String file;
    private final List<String> lines = new ArrayList<>();

    SettingsErrors(String file) {
        this.file = file;
    }

    void add(String path, String value, String allowed) {
        lines.add(file + ": " + path + " is \"" + value + "\"; allowed: " + allowed);
    }

    int size() {
        return lines.size();
    }

    /**
     * Ends the reading of the file.
     *
     * @throws WharfException if any error was found, naming all of them
     */
    void check() {
        if (!lines.isEmpty()) {
            throw new WharfException(ErrorCode.SETTINGS_INVALID, String.join("\n", lines));
        }
    }
}
