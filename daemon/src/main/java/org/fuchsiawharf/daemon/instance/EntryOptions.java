package org.fuchsiawharf.daemon.instance;

import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.util.Arguments;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.http.server.Operators;
import org.fuchsiawharf.http.server.ServerLimits;

/**
 * What one entry instance is told at its start.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name
 * @param zone its availability zone
 * @param host the IP number to listen on
 * @param port the TCP port, 0 for any free one
 * @param platform the platform's address
 * @param directoryMillis the pause between two reads of the directory, 50 to 60,000 ms
 * @param objective what matters most
 * @param baseline whether the baseline policies replace the real ones, for measurements
 * @param limits bounds on callers
 * @param operators who may use the operators' routes
 * @param notReadyMillis how long a stopping instance still takes requests while it reports not ready, 0 to
 *     60,000 ms
 * @param drainMillis how long a stopping instance waits for its requests, 0 to 600,000 ms
 * @param seed the seed of its random choices
 * @param config the configuration to begin with
 */
public record EntryOptions(
        String name,
        String zone,
        String host,
        int port,
        HttpTarget platform,
        long directoryMillis,
        Objective objective,
        boolean baseline,
        ServerLimits limits,
        Operators operators,
        long notReadyMillis,
        long drainMillis,
        long seed,
        ServingConfig config) {
    /**
     * Checks names and bounds.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if one is out of bounds
     */
    public EntryOptions {
        Arguments.name(name, "instance.name");
        Arguments.name(zone, "instance.zone");
        Arguments.between(port, 0, 65_535, "instance.port");
        Arguments.between(directoryMillis, 50, 60_000, "platform.directoryMillis");
        Arguments.between(notReadyMillis, 0, 60_000, "shutdown.notReadyMillis");
        Arguments.between(drainMillis, 0, 600_000, "shutdown.drainMillis");
    }
}
