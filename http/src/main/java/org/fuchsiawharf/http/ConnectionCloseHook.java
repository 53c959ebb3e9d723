package org.fuchsiawharf.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.jspecify.annotations.Nullable;

/**
 * Tells the exchange that is under way on a connection that the connection closed.
 *
 * <p>A connection keeps every close listener for its life; this registers one for each connection and replaces
 * what it runs with each exchange. Confined to the connection's I/O thread.
 */
public final class ConnectionCloseHook {
    private static final AttachmentKey<ConnectionCloseHook> KEY = AttachmentKey.create(ConnectionCloseHook.class);

    private @Nullable Runnable current;

    private ConnectionCloseHook() {}

    /**
     * Sets what runs when an exchange's connection closes, in place of what an earlier exchange set.
     *
     * @param exchange the exchange, not null
     * @param task what to run once, not null
     */
    public static void set(HttpServerExchange exchange, Runnable task) {
        ServerConnection connection = exchange.getConnection();
        ConnectionCloseHook hook = connection.getAttachment(KEY);
        if (hook == null) {
            ConnectionCloseHook created = new ConnectionCloseHook();
            connection.putAttachment(KEY, created);
            connection.addCloseListener(closed -> created.run());
            hook = created;
        }
        hook.current = task;
    }

    private void run() {
        Runnable task = current;
        current = null;
        if (task != null) {
            task.run();
        }
    }
}
