package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.daemon.instance.EntryInstance;
import org.fuchsiawharf.daemon.instance.EntryOptions;
import org.fuchsiawharf.daemon.settings.EntrySettings;

/**
 * Runs an entry instance until the process receives SIGTERM or SIGINT.
 *
 * <p>Stateless.
 */
public final class EntryCommand implements Command {
    @Override
    public String getName() {
        return "entry";
    }

    @Override
    public String getSummary() {
        return "runs one entry instance; the first SIGTERM drains it, a second refuses what is queued";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CommonOptions.SETTINGS, "settings of the instance").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        EntryOptions settings = EntrySettings.read(Path.of(CommonOptions.getRequired(options, CommonOptions.SETTINGS)));
        EntryInstance instance = EntryInstance.start(settings);
        ShutdownSignals signals = ShutdownSignals.install(instance::rejectQueued);
        out.println("entry instance " + settings.name() + " listens on " + settings.host() + ":" + instance.getPort());
        signals.awaitFirst();
        out.println("entry instance " + settings.name() + " is draining");
        instance.stop().join();
        instance.close();
        out.println("entry instance " + settings.name() + " has stopped");
        return EXIT_SUCCESS;
    }
}
