package org.fuchsiawharf.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;

import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.log.DecisionLog;
import org.jspecify.annotations.Nullable;

/**
 * Reads the request limits that endpoints name in their responses.
 *
 * <p>Responses without a limit are passed on only for endpoints that have named one before. Thread-safe.
 */
public final class RequestLimitReader {
    private final FieldNames names;
    private final Executor decisionLoop;
    private final DecisionLog log;
    private final Set<String> limitedEndpoints = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Listener listener;

    /** Receives the limits on the decision loop. */
    @FunctionalInterface
    public interface Listener {
        /**
         * Called for each response that may change a limit.
         *
         * @param endpoint the name of the endpoint, not null
         * @param perSecond the requests per second that the endpoint accepts from all instances; 0 if it names no limit
         * @param sentNanos the time at which the request of the response was sent, in nanoseconds
         */
        void onRequestLimit(String endpoint, double perSecond, long sentNanos);
    }

    /**
     * Creates a reader.
     *
     * @param names the names of the header fields, not null
     * @param decisionLoop executes tasks on the decision loop, not null
     * @param log records malformed limits, not null
     */
    public RequestLimitReader(FieldNames names, Executor decisionLoop, DecisionLog log) {
        this.names = names;
        this.decisionLoop = decisionLoop;
        this.log = log;
    }

    /**
     * Sets the listener; called once, before the first response.
     *
     * @param limitListener the listener, not null
     */
    public void setListener(Listener limitListener) {
        listener = limitListener;
    }

    /**
     * Reads the limit of a response.
     *
     * @param endpoint the name of the endpoint, not null
     * @param fields the fields of the response, not null
     * @param sentNanos the time at which its request was sent, in nanoseconds
     */
    public void onHead(String endpoint, HttpHeaders fields, long sentNanos) {
        for (String name : names.requestLimit()) {
            String value = fields.get(name);
            if (value != null) {
                limitedEndpoints.add(endpoint);
                readLimit(endpoint, value, sentNanos);
                return;
            }
        }
        if (limitedEndpoints.contains(endpoint)) {
            notifyListener(endpoint, 0, sentNanos);
        }
    }

    private void readLimit(String endpoint, String value, long sentNanos) {
        try {
            double perSecond = Double.parseDouble(value.trim());
            if (perSecond > 0 && Double.isFinite(perSecond)) {
                notifyListener(endpoint, perSecond, sentNanos);
                return;
            }
        } catch (NumberFormatException e) {
            // Logged below, as a limit out of range.
        }
        log.write("endpoint.limit_malformed", "endpoint", endpoint, "value", value);
    }

    private void notifyListener(String endpoint, double perSecond, long sentNanos) {
        Listener current = listener;
        if (current != null) {
            decisionLoop.execute(() -> current.onRequestLimit(endpoint, perSecond, sentNanos));
        }
    }
}
