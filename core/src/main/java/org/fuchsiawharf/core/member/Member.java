package org.fuchsiawharf.core.member;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A live instance of the deployment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name, unique in the deployment
 * @param incarnation a number that increases with each start of the instance
 * @param zone the availability zone of the instance
 * @param host the IP address on which the instance accepts peer connections
 * @param port the TCP port on which the instance accepts peer connections, 1 to 65,535
 * @param capacity the weight of the instance in the choice of owners, greater than 0: the processor cores that it can
 *     use, or fewer if its link carries the work of fewer cores only; the share of the keys that the instance owns is
 *     proportional to it
 */
public record Member(String name, long incarnation, String zone, String host, int port, double capacity) {
    /** Checks the name, the port and the capacity. */
    public Member {
        Arguments.notNull(name, "member.name");
        Arguments.between(port, 1, 65_535, "member.port of " + name);
        Arguments.between(capacity, 1e-6, 1e6, "member.capacity of " + name);
    }
}
