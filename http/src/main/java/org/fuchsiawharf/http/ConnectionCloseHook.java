package org.fuchsiawharf.http;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;
import org.jspecify.annotations.Nullable;

/**
 * Runs a task of the current exchange when its connection closes.
 *
 * <p>A connection never removes a close listener, so only one is registered for each connection, and each exchange
 * replaces the task that the listener runs. Confined to the connection's I/O thread.
 */
public final class ConnectionCloseHook {
    private static final AttachmentKey<ConnectionCloseHook> KEY = AttachmentKey.create(ConnectionCloseHook.class);

    private @Nullable Runnable closeTask;

    private ConnectionCloseHook() {}

    /**
     * Sets the task to run when the connection of an exchange closes. Replaces the task of an earlier exchange on the
     * same connection.
     *
     * @param exchange the exchange, not null
     * @param task the task, run at most once, not null
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
        hook.closeTask = task;
    }

    private void run() {
        Runnable task = closeTask;
        closeTask = null;
        if (task != null) {
            task.run();
        }
    }
}
