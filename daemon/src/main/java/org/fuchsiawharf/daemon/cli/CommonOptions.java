package org.fuchsiawharf.daemon.cli;

import java.nio.file.Path;

import joptsimple.OptionSet;
import org.fuchsiawharf.core.error.ArgumentException;

/**
 * The names of options that several commands share, and methods that read options.
 *
 * <p>Stateless and thread-safe.
 */
final class CommonOptions {
    static final String SETTINGS = "settings";
    static final String JSON = "json";
    static final String SEED = "seed";
    static final String EXAMPLES = "examples";

    private CommonOptions() {}

    /**
     * Gets the directory of the example deployments.
     *
     * @param options the parsed options, not null
     * @return the directory, never null
     */
    static Path getExamplesDirectory(OptionSet options) {
        if (options.has(EXAMPLES)) {
            return Path.of((String) options.valueOf(EXAMPLES));
        }
        return Path.of(System.getProperty("fuchsiawharf.home", "."), "examples");
    }

    /**
     * Gets the value of a required option.
     *
     * @param options the parsed options, not null
     * @param name the option's name, not null
     * @return the value, never null
     * @throws ArgumentException if the option is absent
     */
    static String getRequired(OptionSet options, String name) {
        Object value = options.valueOf(name);
        if (value == null) {
            throw new ArgumentException("--" + name, "absent", "a value");
        }
        return value.toString();
    }
}
