package org.fuchsiawharf.daemon.instance;

import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.util.Arguments;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.http.server.OperatorAuthenticator;
import org.fuchsiawharf.http.server.ServerLimits;

/**
 * The options of an entry instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name
 * @param zone the instance's availability zone
 * @param host the IP address to listen on
 * @param port the TCP port, 0 for any free port
 * @param platform the platform's address
 * @param directoryMillis the delay between two reads of the directory, 50 to 60,000 ms
 * @param objective the objective that the policies optimize
 * @param baseline whether the baseline policies replace the regular ones, to measure the difference between them
 * @param limits the limits on callers' connections and requests
 * @param operators the operators that may use the operator routes
 * @param notReadyMillis how long a stopping instance accepts requests while it reports not ready, 0 to
 *     60,000 ms
 * @param drainMillis how long a stopping instance waits for its requests to end, 0 to 600,000 ms
 * @param seed the seed of the random number generator
 * @param config the initial configuration
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
        OperatorAuthenticator operators,
        long notReadyMillis,
        long drainMillis,
        long seed,
        ServingConfig config) {
    /**
     * Validates names and bounds.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if a name is malformed or a number is out of bounds
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
