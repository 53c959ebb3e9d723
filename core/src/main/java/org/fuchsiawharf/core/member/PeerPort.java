package org.fuchsiawharf.core.member;

import java.util.Collection;

/**
 * Carries messages between instances.
 *
 * <p>Called on the decision loop. A message is delivered once and in order, or not at all; whether it arrived shows
 * only in what the other instance answers.
 */
public interface PeerPort {
    /** Carries nothing: this instance is alone. */
    PeerPort NONE = new PeerPort() {
        @Override
        public void connect(Collection<Member> peers) {}

        @Override
        public boolean send(String member, PeerMessage message) {
            return false;
        }

        @Override
        public void reset(String member) {}

        @Override
        public Collection<String> connected() {
            return java.util.List.of();
        }

        @Override
        public boolean isConnected(String member) {
            return false;
        }
    };

    /**
     * Sets with which instances connections are kept; others are closed.
     *
     * @param peers the instances, not null
     */
    void connect(Collection<Member> peers);

    /**
     * Sends a message.
     *
     * @param member the name of the instance it goes to, not null
     * @param message the message, not null
     * @return false if there is no connection
     */
    boolean send(String member, PeerMessage message);

    /**
     * Closes the connection that this instance opened to another one, and opens it anew if it is wanted.
     *
     * @param member the other instance's name, not null
     */
    void reset(String member);

    /**
     * Gets the instances that a connection exists with, in either direction.
     *
     * @return their names, never null
     */
    Collection<String> connected();

    /**
     * Tells whether a connection exists with an instance, in either direction.
     *
     * @param member the other instance's name, not null
     * @return true if one does
     */
    boolean isConnected(String member);
}
