package org.fuchsiawharf.core.member;

import java.util.Collection;

/**
 * Sends messages to other instances and keeps the connections to them.
 *
 * <p>Called on the decision loop. A message is delivered once and in order, or not at all. Delivery is not
 * acknowledged: only a reply from the receiver shows that a message has arrived.
 */
public interface PeerPort {
    /** A port without connections, for an instance without peers. */
    PeerPort NONE = new PeerPort() {
        @Override
        public void setDesiredPeers(Collection<Member> peers) {}

        @Override
        public boolean send(String peer, PeerMessage message) {
            return false;
        }

        @Override
        public void reconnect(String peer) {}

        @Override
        public Collection<String> getConnectedPeers() {
            return java.util.List.of();
        }

        @Override
        public boolean isConnected(String peer) {
            return false;
        }
    };

    /**
     * Sets the peers to keep connections open to, and closes the connections opened to all others.
     *
     * @param peers the peers to stay connected to, not null
     */
    void setDesiredPeers(Collection<Member> peers);

    /**
     * Sends a message.
     *
     * <p>A message is refused if there is no connection, or if each connection already has too many bytes to send.
     * {@link #isConnected} tells these cases apart; a full connection accepts messages again once it has sent its bytes.
     *
     * @param peer the name of the receiving instance, not null
     * @param message the message, not null
     * @return true if the message was passed to a connection, false if it was refused and nothing of it was sent
     */
    boolean send(String peer, PeerMessage message);

    /**
     * Closes the connection that this instance opened to a peer, and reopens it if the peer is to stay connected.
     *
     * @param peer the name of the peer, not null
     */
    void reconnect(String peer);

    /**
     * Gets the peers with an open connection in either direction.
     *
     * @return the names of the peers, never null
     */
    Collection<String> getConnectedPeers();

    /**
     * Checks whether a connection to a peer is open in either direction.
     *
     * @param peer the name of the peer, not null
     * @return true if a connection is open
     */
    boolean isConnected(String peer);
}
