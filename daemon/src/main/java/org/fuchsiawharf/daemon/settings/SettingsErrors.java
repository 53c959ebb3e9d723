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
    private final List<String> messages = new ArrayList<>();

    SettingsErrors(String file) {
        this.file = file;
    }

    void add(String path, String value, String allowed) {
        messages.add(file + ": " + path + " is \"" + value + "\"; allowed: " + allowed);
    }

    int size() {
        return messages.size();
    }

    /**
     * Throws an exception if any error was found.
     *
     * @throws WharfException if any error was found; the message lists all of them
     */
    void throwIfAny() {
        if (!messages.isEmpty()) {
            throw new WharfException(ErrorCode.SETTINGS_INVALID, String.join("\n", messages));
        }
    }
}
