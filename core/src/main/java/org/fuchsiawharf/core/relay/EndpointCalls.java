package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;
import org.jspecify.annotations.Nullable;

/**
 * Sends callers' requests to endpoints.
 *
 * <p>The methods are called on the decision loop, and so are the listeners. The events of a stream are forwarded from
 * the endpoint to the caller outside the loop, each event once and in order, regardless of which call delivers it.
 */
public interface EndpointCalls {
    /**
     * Sends a request.
     *
     * @param exchange the caller's exchange, which supplies the method, header fields and body, not null
     * @param endpoint the endpoint to call, not null
     * @param terms the deadline, workspace, rank and inputs that are sent with the request, not null
     * @param listener the listener for the progress of the call, not null
     * @return the call, never null
     */
    Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener);

    /**
     * The deadline, workspace, rank and inputs that are sent to an endpoint with a request.
     *
     * @param remainingMillis the time left until the deadline, in milliseconds
     * @param workspace the name of the caller's workspace, null if the request has none
     * @param rank the priority rank; 0 is the most urgent
     * @param inputs the handles of the results that the request needs, null if its route has no stages
     * @param stream whether the response is an event stream
     * @param repeatable whether the request may be sent again if the call fails
     * @param version the version of the endpoint's software; a stream goes on only at the version that began it
     * @param maxIdleConnections the number of idle connections to the endpoint that may be kept after the call
     */
    record Terms(
            long remainingMillis,
            @Nullable String workspace,
            int rank,
            @Nullable List<String> inputs,
            boolean stream,
            boolean repeatable,
            String version,
            int maxIdleConnections) {}

    /** A call in flight. */
    interface Call {
        /** Cancels the call and closes its connection; its listener is not called any more. */
        void cancel();

        /**
         * Gets the time at which data last arrived from the endpoint on this call; may be called from any thread.
         *
         * @return the time on the loop's clock, in nanoseconds; the time of sending if no data has arrived
         */
        long getLastReceivedNanos();
    }

    /**
     * Receives the progress of a call. Exactly one of {@link #onStreamEnded}, {@link #onResponse} and {@link #onFailed}
     * is called once, unless the call is cancelled.
     */
    interface Listener {
        /** Called when the first event of a stream has been forwarded. */
        void onStreamStarted();

        /**
         * Called when the endpoint has ended a stream without an error and its last event has been forwarded.
         *
         * @param events the number of events that this call delivered
         */
        void onStreamEnded(long events);

        /**
         * Called when a complete response that is not a stream has arrived.
         *
         * @param response the response, not null
         */
        void onResponse(EndpointResponse response);

        /**
         * Called when the call has ended without a complete response.
         *
         * @param failure the kind of failure, not null
         * @param detail a description of the failure for logs, not null
         */
        void onFailed(CallFailure failure, String detail);
    }
}
