package org.fuchsiawharf.peer;

import org.fuchsiawharf.core.member.PeerMessage;

/**
 * A listener for messages from other instances and for the state of the connections that this instance opens.
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
     * @param peer the name of the peer, not null
     */
    void onConnected(String peer);

    /**
     * Called when a connection opened by this instance was closed or could not be established.
     *
     * @param peer the name of the peer, not null
     * @param detail the cause, for logs, not null
     */
    void onDisconnected(String peer, String detail);
}
