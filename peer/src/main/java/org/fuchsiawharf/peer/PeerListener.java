package org.fuchsiawharf.peer;

import org.fuchsiawharf.core.member.PeerMessage;

/**
 * Hears other instances.
 *
 * <p>Called on the decision loop.
 */
public interface PeerListener {
    /**
     * Takes in a message.
     *
     * @param from the sender's name, not null
     * @param message the message, not null
     */
    void onMessage(String from, PeerMessage message);

    /**
     * Learns that a connection stands.
     *
     * @param member the other instance's name, not null
     */
    void onConnected(String member);

    /**
     * Learns that a connection broke or could not be made.
     *
     * @param member the other instance's name, not null
     * @param detail what was seen, for logs, not null
     */
    void onDisconnected(String member, String detail);
}
