package org.fuchsiawharf.peer;

import org.fuchsiawharf.core.member.PeerMessage;

/**
 * A listener for messages from other instances and for changes of the connections to them.
 *
 * <p>Called on the decision loop.
 */
public interface PeerListener {
    /**
     * Called when a message has been received.
     *
     * @param from the name of the sender, not null
     * @param message the message, not null
     */
    void onMessage(String from, PeerMessage message);

    /**
     * Called when a connection opened by this instance is established.
     *
     * @param member the name of the other instance, not null
     */
    void onConnected(String member);

    /**
     * Called when a connection opened by this instance was closed or could not be established.
     *
     * @param member the name of the other instance, not null
     * @param detail the cause, for logs, not null
     */
    void onDisconnected(String member, String detail);
}
