package org.fuchsiawharf.core.member;

import org.fuchsiawharf.core.util.Arguments;

/**
 * A live instance.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the instance's name, unique in the deployment
 * @param incarnation tells starts of one instance apart; later starts have greater numbers
 * @param zone its availability zone
 * @param host the IP number on which it hears other instances
 * @param port the TCP port on which it hears other instances, 1 to 65,535
 * @param capacity its share of work that one instance does for all, greater than 0
 */
public record Member(String name, long incarnation, String zone, String host, int port, double capacity) {
    /** Checks port and capacity. */
    public Member {
        Arguments.notNull(name, "member.name");
        Arguments.between(port, 1, 65_535, "member.port of " + name);
        Arguments.between(capacity, 1e-6, 1e6, "member.capacity of " + name);
    }
}
