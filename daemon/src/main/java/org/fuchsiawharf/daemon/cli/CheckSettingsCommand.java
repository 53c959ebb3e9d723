package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.daemon.settings.SettingsKind;

/**
 * Validates settings files without applying them.
 *
 * <p>Stateless.
 */
public final class CheckSettingsCommand implements Command {
    @Override
    public String getName() {
        return "check-settings";
    }

    @Override
    public String getSummary() {
        return "checks settings files and lists every error with what is allowed";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.nonOptions("files to check").ofType(String.class);
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        List<?> files = options.nonOptionArguments();
        if (files.isEmpty()) {
            throw new ArgumentException("FILE", "absent", "one or more settings files");
        }
        for (Object file : files) {
            SettingsKind kind = SettingsKind.check(Path.of(file.toString()));
            out.println(file + ": good, " + kind.getDisplayName());
        }
        return EXIT_SUCCESS;
    }
}
