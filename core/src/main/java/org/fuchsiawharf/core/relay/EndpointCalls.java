package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.port.CallFailure;
import org.jspecify.annotations.Nullable;

/**
 * Sends callers' requests to endpoints.
 *
 * <p>Called on the decision loop; what calls experience comes back on it. The events of a stream pass from the
 * endpoint to the caller without the loop: each is passed on once and in order, whichever call brings it.
 */
public interface EndpointCalls {
    /**
     * Sends a request.
     *
     * @param exchange the caller's side, from which method, fields and body come, not null
     * @param endpoint where to, not null
     * @param terms what the endpoint is told beside, not null
     * @param listener hears what becomes of the call, not null
     * @return the call, never null
     */
    Call send(CallerExchange exchange, Endpoint endpoint, Terms terms, Listener listener);

    /**
     * What an endpoint is told beside the request.
     *
     * @param remainingMillis how long it may work, in milliseconds
     * @param workspace the caller's workspace, null if the route is open
     * @param rank the request's rank, 0 first
     * @param inputs the handles of the results that the request needs, null if its route has no stages
     * @param stream whether the answer is an event stream
     * @param repeatable whether the request may be sent again if the call breaks
     */
    record Terms(
            long remainingMillis,
            @Nullable String workspace,
            int rank,
            @Nullable List<String> inputs,
            boolean stream,
            boolean repeatable) {}

    /** A call under way. */
    interface Call {
        /** Gives the call up and closes its connection; its listener hears nothing more. */
        void cancel();

        /**
         * Gets when anything last came from the endpoint on this call; may be read from any thread.
         *
         * @return nanoseconds on the loop's clock, the time of sending before anything came
         */
        long getHeardNanos();
    }

    /** Hears what becomes of a call; exactly one of the last three methods is called, and that once. */
    interface Listener {
        /** The first event of a stream was passed on. */
        void onStreamStarted();

        /**
         * The last event of a stream was passed on and the endpoint ended it properly.
         *
         * @param events the number of events that this call brought
         */
        void onStreamEnded(long events);

        /**
         * The endpoint answered whole, with an answer that is no stream.
         *
         * @param answer the answer, not null
         */
        void onAnswered(EndpointAnswer answer);

        /**
         * The call ended without a whole answer.
         *
         * @param failure why, not null
         * @param detail what was seen, for logs, not null
         */
        void onFailed(CallFailure failure, String detail);
    }
}
