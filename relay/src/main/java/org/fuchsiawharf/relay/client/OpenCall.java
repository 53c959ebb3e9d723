package org.fuchsiawharf.relay.client;

import io.netty.handler.codec.http.HttpMethod;
import org.jspecify.annotations.Nullable;

/**
 * A call that has no whole response yet.
 *
 * <p>Confined to the I/O thread, except for the time of the last bytes, which any thread may read.
 */
public final class OpenCall {
    final HttpCall call;
    private final ResponseListener listener;
    private @Nullable EndpointConnection connection;
    private boolean ended;
    private volatile long heardNanos;

    OpenCall(HttpCall call, ResponseListener listener) {
        this.call = call;
        this.listener = listener;
        this.heardNanos = System.nanoTime();
    }

    /** Gives the call up and closes its connection; its listener hears nothing more. */
    public void cancel() {
        if (!ended) {
            ended = true;
            EndpointConnection open = connection;
            if (open != null) {
                open.close();
            }
        }
    }

    /**
     * Gets when anything last came from the other side.
     *
     * @return nanoseconds of {@link System#nanoTime}, the time of sending before anything came
     */
    public long getHeardNanos() {
        return heardNanos;
    }

    /**
     * Holds back or lets through what the other side sends.
     *
     * @param reading whether to read
     */
    public void setReading(boolean reading) {
        EndpointConnection open = connection;
        if (open != null) {
            open.setReading(reading);
        }
    }

    boolean isEnded() {
        return ended;
    }

    HttpMethod method() {
        return call.head().method();
    }

    void attach(EndpointConnection to) {
        connection = to;
        heardNanos = System.nanoTime();
    }

    void heard() {
        heardNanos = System.nanoTime();
    }

    ResponseListener listener() {
        return listener;
    }

    /** Marks the call as ended; false if it had ended before. */
    boolean end() {
        boolean first = !ended;
        ended = true;
        return first;
    }
}
