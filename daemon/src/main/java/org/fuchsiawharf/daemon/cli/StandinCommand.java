package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.daemon.settings.StandinSettings;
import org.fuchsiawharf.standin.StandinFleet;

/**
 * Runs stand-ins of a deployment's endpoints and platform until the process receives SIGTERM or SIGINT.
 *
 * <p>Stateless.
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
    public void declareOptions(OptionParser parser) {
        parser.accepts(CommonOptions.SETTINGS, "settings of the stand-ins").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        StandinSettings settings =
                StandinSettings.read(Path.of(CommonOptions.getRequired(options, CommonOptions.SETTINGS)));
        try (StandinFleet fleet = new StandinFleet(
                settings.zones(),
                settings.profiles(),
                settings.platformPort(),
                settings.firstPort(),
                settings.seed())) {
            ShutdownSignals signals = ShutdownSignals.install(() -> {});
            out.println("platform listens on 127.0.0.1:" + fleet.getPlatform().getPort());
            fleet.getEndpoints()
                    .forEach(endpoint -> out.println("endpoint " + endpoint.name() + " in " + endpoint.zone()
                            + " listens on " + endpoint.host() + ":" + endpoint.port()));
            signals.awaitFirst();
        }
        return EXIT_SUCCESS;
    }
}
