package org.fuchsiawharf.relay;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.function.Consumer;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.routing.Brittleness;
import org.fuchsiawharf.core.tunnel.EndpointNotice;
import org.jspecify.annotations.Nullable;

/**
 * Reads what endpoints state about themselves in any response: that they leave, that they accept no requests for a
 * time, the request limits that they name, that they are cold, and that they are brittle.
 *
 * <p>Responses without a limit are passed on only for endpoints that have named one before. Responses of endpoints that
 * are not brittle are passed on while any endpoint is, since the endpoints of a service become brittle together.
 * Thread-safe.
 */
public final class EndpointNoticeReader {
    private static final int UNAVAILABLE = 503;
    /** Longest time for which an endpoint can ask not to be sent requests, in seconds. */
    private static final double MAX_PAUSE_SECONDS = 600;

    /** Longest time for which a response can state that its endpoint is cold, in milliseconds. */
    private static final double MAX_COLD_MILLIS = 60_000;

    private static final double NANOS_PER_MILLI = 1e6;
    private static final double NANOS_PER_SECOND = 1e9;

    private final FieldNames names;
    private final Executor decisionLoop;
    private final DecisionLog log;
    private final Set<String> limitedEndpoints = ConcurrentHashMap.newKeySet();
    private final Set<String> brittleEndpoints = ConcurrentHashMap.newKeySet();
    private volatile @Nullable Listener listener;

    /** Receives the notices on the decision loop. */
    public interface Listener {
        /**
         * Called for each response that states that its endpoint leaves.
         *
         * @param endpoint the name of the endpoint, not null
         */
        void onLeaving(String endpoint);

        /**
         * Called when an endpoint has refused a request and accepts no others for a time.
         *
         * @param endpoint the name of the endpoint, not null
         * @param nanos the time from now on, in nanoseconds
         */
        void onPauseRequested(String endpoint, long nanos);

        /**
         * Called for each response that may change a limit.
         *
         * @param endpoint the name of the endpoint, not null
         * @param perSecond the requests per second that the endpoint accepts from all instances; 0 if it names no limit
         * @param sentNanos the time at which the request of the response was sent, in nanoseconds
         */
        void onRequestLimit(String endpoint, double perSecond, long sentNanos);

        /**
         * Called for each response that states that its endpoint is cold.
         *
         * @param endpoint the name of the endpoint, not null
         * @param untilNanos the time at which the endpoint is warm, in nanoseconds
         */
        void onCold(String endpoint, long untilNanos);

        /**
         * Called for each response that may change whether an endpoint is brittle.
         *
         * @param endpoint the name of the endpoint, not null
         * @param maxRejections the requests per second that the endpoint can reject for want of room without failing, at
         *     least 0; {@link Brittleness#NONE} if it is not brittle
         * @param sentNanos the time at which the request of the response was sent, in nanoseconds
         */
        void onBrittle(String endpoint, double maxRejections, long sentNanos);
    }

    /**
     * Creates a reader.
     *
     * @param names the names of the header fields, not null
     * @param decisionLoop executes tasks on the decision loop, not null
     * @param log records malformed notices, not null
     */
    public EndpointNoticeReader(FieldNames names, Executor decisionLoop, DecisionLog log) {
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
     * Reads the notices of a response.
     *
     * @param endpoint the name of the endpoint, not null
     * @param status the status of the response
     * @param fields the fields of the response, not null
     * @param sentNanos the time at which its request was sent, in nanoseconds
     */
    public void onHead(String endpoint, int status, HttpHeaders fields, long sentNanos) {
        if (isLeaving(fields)) {
            notifyListener(current -> current.onLeaving(endpoint));
        }
        String retryAfter = status == UNAVAILABLE ? fields.get(HttpHeaderNames.RETRY_AFTER) : null;
        if (retryAfter != null) {
            readPause(endpoint, retryAfter);
        }
        readLimit(endpoint, fields, sentNanos);
        readColdTime(endpoint, fields);
        readBrittleness(endpoint, fields, sentNanos);
    }

    /**
     * Reads what a response states for all instances that its connection leads through.
     *
     * @param status the status of the response
     * @param fields the fields of the response, not null
     * @return the notice, {@link EndpointNotice#NONE} if it states nothing, never null
     */
    public EndpointNotice readNotice(int status, HttpHeaders fields) {
        String retryAfter = status == UNAVAILABLE ? fields.get(HttpHeaderNames.RETRY_AFTER) : null;
        double seconds = retryAfter == null ? 0 : parse(retryAfter);
        return new EndpointNotice(isLeaving(fields), toPauseNanos(seconds));
    }

    private boolean isLeaving(HttpHeaders fields) {
        return names.leaving().stream().anyMatch(name -> "1".equals(fields.get(name)));
    }

    private static long toPauseNanos(double seconds) {
        return seconds > 0 ? (long) (Math.min(seconds, MAX_PAUSE_SECONDS) * NANOS_PER_SECOND) : 0;
    }

    private void readPause(String endpoint, String value) {
        double seconds = parse(value);
        if (seconds > 0) {
            long nanos = toPauseNanos(seconds);
            notifyListener(current -> current.onPauseRequested(endpoint, nanos));
        } else if (seconds != 0) {
            log.write("endpoint.retry_after_malformed", "endpoint", endpoint, "value", value);
        }
    }

    private void readLimit(String endpoint, HttpHeaders fields, long sentNanos) {
        for (String name : names.requestLimit()) {
            String value = fields.get(name);
            if (value != null) {
                limitedEndpoints.add(endpoint);
                applyLimit(endpoint, value, sentNanos);
                return;
            }
        }
        if (limitedEndpoints.contains(endpoint)) {
            notifyListener(current -> current.onRequestLimit(endpoint, 0, sentNanos));
        }
    }

    private void applyLimit(String endpoint, String value, long sentNanos) {
        double perSecond = parse(value);
        if (perSecond > 0) {
            notifyListener(current -> current.onRequestLimit(endpoint, perSecond, sentNanos));
        } else {
            log.write("endpoint.limit_malformed", "endpoint", endpoint, "value", value);
        }
    }

    private void readColdTime(String endpoint, HttpHeaders fields) {
        String value = fields.get(names.coldMillis());
        if (value == null) {
            return;
        }
        double millis = parse(value);
        if (millis > 0) {
            long nanos = (long) (Math.min(millis, MAX_COLD_MILLIS) * NANOS_PER_MILLI);
            notifyListener(current -> current.onCold(endpoint, System.nanoTime() + nanos));
        } else if (millis != 0) {
            log.write("endpoint.cold_malformed", "endpoint", endpoint, "value", value);
        }
    }

    private void readBrittleness(String endpoint, HttpHeaders fields, long sentNanos) {
        for (String name : names.maxRejections()) {
            String value = fields.get(name);
            if (value != null) {
                applyBrittleness(endpoint, value, sentNanos);
                return;
            }
        }
        if (!brittleEndpoints.isEmpty()) {
            brittleEndpoints.remove(endpoint);
            notifyListener(current -> current.onBrittle(endpoint, Brittleness.NONE, sentNanos));
        }
    }

    private void applyBrittleness(String endpoint, String value, long sentNanos) {
        double maxRejections = parse(value);
        if (maxRejections >= 0) {
            brittleEndpoints.add(endpoint);
            notifyListener(current -> current.onBrittle(endpoint, maxRejections, sentNanos));
        } else {
            log.write("endpoint.brittle_malformed", "endpoint", endpoint, "value", value);
        }
    }

    /** Parses a finite number that is not negative; -1 if the text is none. */
    private static double parse(String text) {
        try {
            double number = Double.parseDouble(text.trim());
            return number >= 0 && Double.isFinite(number) ? number : -1;
        } catch (NumberFormatException e) {
            // The caller logs the text.
            return -1;
        }
    }

    private void notifyListener(Consumer<Listener> notice) {
        Listener current = listener;
        if (current != null) {
            decisionLoop.execute(() -> notice.accept(current));
        }
    }
}
