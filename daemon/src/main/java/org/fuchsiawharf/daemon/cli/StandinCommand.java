package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.daemon.settings.StandinSettings;
import org.fuchsiawharf.standin.StandinFleet;

/**
 * Runs stand-ins of a deployment's endpoints and platform until it is told to stop.
 *
 * <p>Holds no state.
 */
public final class StandinCommand implements Command {
    @Override
    public String getName() {
        return "standin";
    }

    @Override
    public String getSummary() {
        return "runs stand-ins of a deployment's endpoints and platform";
    }

    @Override
    public void declare(OptionParser parser) {
        parser.accepts(OptionNames.SETTINGS, "settings of the stand-ins").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        StandinSettings settings = StandinSettings.read(Path.of(OptionNames.required(options, OptionNames.SETTINGS)));
        try (StandinFleet fleet = new StandinFleet(
                settings.zones(),
                settings.profiles(),
                settings.platformPort(),
                settings.firstPort(),
                settings.seed())) {
            Signals signals = Signals.handle(() -> {});
            out.println("platform listens on 127.0.0.1:" + fleet.getPlatform().getPort());
            fleet.getEndpoints()
                    .forEach(endpoint -> out.println("endpoint " + endpoint.name() + " in " + endpoint.zone()
                            + " listens on " + endpoint.host() + ":" + endpoint.port()));
            signals.awaitFirst();
        }
        return OK;
    }
}
