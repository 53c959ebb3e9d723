package org.fuchsiawharf.daemon.cli;

import java.nio.file.Path;

import joptsimple.OptionSet;
import org.fuchsiawharf.core.error.ArgumentException;

/**
 * Options that several commands share, and how they are read.
 *
 * <p>Stateless and thread-safe.
 */
final class OptionNames {
    static final String SETTINGS = "settings";
    static final String JSON = "json";
    static final String SEED = "seed";
    static final String EXAMPLES = "examples";

    private OptionNames() {}

    /**
     * Gets the folder of examples.
     *
     * @param options the parsed options, not null
     * @return the folder, never null
     */
    static Path examples(OptionSet options) {
        if (options.has(EXAMPLES)) {
            return Path.of((String) options.valueOf(EXAMPLES));
        }
        return Path.of(System.getProperty("fuchsiawharf.home", "."), "examples");
    }

    /**
     * Gets a required option's text.
     *
     * @param options the parsed options, not null
     * @param name the option's name, not null
     * @return the text, never null
     * @throws ArgumentException if the option is absent
     */
    static String required(OptionSet options, String name) {
        Object value = options.valueOf(name);
        if (value == null) {
            throw new ArgumentException("--" + name, "absent", "a value");
        }
        return value.toString();
    }
}
