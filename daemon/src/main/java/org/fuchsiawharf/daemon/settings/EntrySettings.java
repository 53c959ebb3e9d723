package org.fuchsiawharf.daemon.settings;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.daemon.instance.EntryOptions;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.http.server.OperatorAuthenticator;
import org.fuchsiawharf.http.server.ServerLimits;

/**
 * Reads the settings of an entry instance.
 *
 * <p>Stateless and thread-safe.
 */
public final class EntrySettings {
    private static final int MAX_PORT = 65_535;
    private static final int MAX_BYTES = 16 << 20;

    private EntrySettings() {}

    /**
     * Reads the settings of an instance and the configuration file to which they refer.
     *
     * @param file the YAML file, not null
     * @return the options, never null
     * @throws org.fuchsiawharf.core.error.WharfException if a file has errors; the message lists all errors of one file
     */
    public static EntryOptions read(Path file) {
        return SettingsFile.read(file, root -> toOptions(root, file));
    }

    private static EntryOptions toOptions(SettingsNode root, Path file) {
        SettingsNode instance = root.child("instance");
        SettingsNode platform = root.child("platform");
        SettingsNode shutdown = root.child("shutdown");
        SettingsNode limits = root.child("limits");
        String name = instance.name("name");
        String zone = instance.name("zone");
        String host = instance.text("host", "127.0.0.1");
        int port = (int) instance.number("port", 0, MAX_PORT, null);
        HttpTarget platformAddress = platform.address("address");
        long directoryMillis = platform.number("directoryMillis", 50, 60_000, 1_000L);
        Objective objective = root.choice("objective", Objective.class, Objective.ATTAINMENT);
        boolean baseline = root.flag("baseline", false);
        ServerLimits serverLimits = toLimits(limits);
        OperatorAuthenticator operators = toOperators(root);
        long notReadyMillis = shutdown.number("notReadyMillis", 0, 60_000, 1_000L);
        long drainMillis = shutdown.number("drainMillis", 0, 600_000, 120_000L);
        long seed = root.number("seed", Long.MIN_VALUE, Long.MAX_VALUE, System.nanoTime());
        String configuration = root.text("configuration", "configuration.yaml");
        List.of(instance, platform, shutdown, limits).forEach(SettingsNode::reportUnknownKeys);
        return new EntryOptions(
                name,
                zone,
                host,
                port,
                platformAddress,
                directoryMillis,
                objective,
                baseline,
                serverLimits,
                operators,
                notReadyMillis,
                drainMillis,
                seed,
                ConfigurationFile.read(file.resolveSibling(configuration)));
    }

    private static OperatorAuthenticator toOperators(SettingsNode root) {
        List<OperatorAuthenticator.Operator> operators = new ArrayList<>();
        for (SettingsNode node : root.children("operators")) {
            OperatorAuthenticator.Operator operator =
                    node.build(n -> new OperatorAuthenticator.Operator(n.name("name"), n.text("token", null)), null);
            node.reportUnknownKeys();
            if (operator != null) {
                operators.add(operator);
            }
        }
        return new OperatorAuthenticator(operators);
    }

    private static ServerLimits toLimits(SettingsNode node) {
        ServerLimits defaults = ServerLimits.defaults();
        return new ServerLimits(
                (int) node.number("maxBodyBytes", 1_024, MAX_BYTES, (long) defaults.maxBodyBytes()),
                (int) node.number("maxConnections", 1, 100_000, (long) defaults.maxConnections()),
                node.number("maxDeadlineMillis", 1, 600_000, defaults.maxDeadlineMillis()),
                node.number("bodyTimeoutMillis", 100, 600_000, defaults.bodyTimeoutMillis()),
                (int) node.number("maxUnsentBytes", 1_024, MAX_BYTES, (long) defaults.maxUnsentBytes()));
    }
}
