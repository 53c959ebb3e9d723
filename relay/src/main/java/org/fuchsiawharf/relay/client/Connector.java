package org.fuchsiawharf.relay.client;

import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.handler.codec.http.HttpHeaders;

/**
 * Opens the connections of an HTTP client.
 *
 * <p>Confined to the I/O thread.
 */
public interface Connector {
    /** Receives the outcome of a connect: exactly one method is called, once. */
    interface Listener {
        /**
         * Called when the server is connected.
         *
         * @param channel the channel to the server, not null
         * @param reusable whether the connection may carry further calls
         */
        void onConnected(Channel channel, boolean reusable);

        /**
         * Called when the server could not be connected; nothing was sent to it.
         *
         * @param detail the observed error, for logs, not null
         */
        void onFailed(String detail);
    }

    /**
     * Opens a connection.
     *
     * @param call the call that needs the connection, not null
     * @param handlers adds the handlers of the client to a channel; may be applied to several, of which one is used; not
     *     null
     * @param listener receives the outcome, not null
     */
    void connect(HttpCall call, Consumer<Channel> handlers, Listener listener);

    /**
     * Checks whether a call may be sent on a connection that was opened for an earlier call.
     *
     * @param call the call, not null
     * @return true if connections to the server are still made in the same way
     */
    default boolean mayReuse(HttpCall call) {
        return true;
    }

    /**
     * Called with the head of a response.
     *
     * @param channel the channel on which it arrived, not null
     * @param status the HTTP status code
     * @param fields the header fields, not null
     */
    default void onHead(Channel channel, int status, HttpHeaders fields) {}
}
