package org.fuchsiawharf.relay.client;

import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * A call in flight, whose response is not complete.
 *
 * <p>Confined to the I/O thread, except for {@link #getLastReceivedNanos}, which any thread may call.
 */
public final class OpenCall {
    final HttpCall httpCall;
    private final ResponseListener listener;
    private @Nullable ClientConnection connection;
    private boolean ended;
    private volatile long lastReceivedNanos;
    private volatile boolean expectingData;

    OpenCall(HttpCall httpCall, ResponseListener listener) {
        this.httpCall = httpCall;
        this.listener = listener;
        this.lastReceivedNanos = System.nanoTime();
    }

    /** Cancels the call and closes its connection; its listener is not called again. */
    public void cancel() {
        if (!ended) {
            ended = true;
            ClientConnection current = connection;
            if (current != null) {
                current.close();
            }
        }
    }

    /**
     * Gets the time at which bytes were last received from the server.
     *
     * @return the time by {@link System#nanoTime}, in nanoseconds; the time of sending if nothing has been received, and
     *     the current time while the connection is being established, which has a timeout of its own, or reading is paused
     */
    public long getLastReceivedNanos() {
        return expectingData ? lastReceivedNanos : System.nanoTime();
    }

    /**
     * Pauses or resumes reading from the connection.
     *
     * @param reading true to read, false to pause
     */
    public void setReading(boolean reading) {
        ClientConnection current = connection;
        if (current != null) {
            lastReceivedNanos = System.nanoTime();
            expectingData = reading;
            current.setReading(reading);
        }
    }

    boolean isEnded() {
        return ended;
    }

    HttpMethod getMethod() {
        return httpCall.head().method();
    }

    void attach(ClientConnection target) {
        connection = target;
        lastReceivedNanos = System.nanoTime();
        expectingData = true;
    }

    void markReceived() {
        lastReceivedNanos = System.nanoTime();
    }

    ResponseListener getListener() {
        return listener;
    }

    /** Marks the call as ended; returns false if it had already ended. */
    boolean markEnded() {
        boolean changed = !ended;
        ended = true;
        return changed;
    }
}
