package org.fuchsiawharf.core.port;

import java.util.List;

import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.ServingConfig;

/**
 * An input event of the decision loop.
 *
 * <p>Every event is immutable and thread-safe.
 */
public sealed interface Event {
    /**
     * A request was received completely.
     *
     * @param request the request
     * @param caller the port to the caller
     */
    record RequestArrived(CallerRequest request, CallerPort caller) implements Event {}

    /**
     * A caller closed its connection before it received its response.
     *
     * @param caller the port that was passed with the request
     */
    record CallerLeft(CallerPort caller) implements Event {}

    /**
     * An endpoint sent one token of a stream.
     *
     * @param id the attempt identifier echoed by the endpoint
     * @param offset the position of the token in the stream, from 0
     * @param text the text of the token
     */
    record TokenReceived(AttemptId id, long offset, String text) implements Event {}

    /**
     * An endpoint completed a call.
     *
     * @param id the attempt identifier echoed by the endpoint
     * @param answer the response, {@link Payload#NULL} for a stream
     * @param tokens the number of tokens of a completed stream, 0 otherwise
     */
    record CallCompleted(AttemptId id, Payload answer, long tokens) implements Event {}

    /**
     * A call ended without a response.
     *
     * @param id the identifier of the attempt
     * @param failure the reason
     * @param detail a description of the failure for logs
     */
    record CallFailed(AttemptId id, CallFailure failure, String detail) implements Event {}

    /**
     * An endpoint reported its load.
     *
     * @param endpoint the name of the endpoint
     * @param running the number of running calls at the time of the report
     * @param waiting the number of queued calls at the time of the report
     * @param slots the maximum number of concurrent calls
     * @param leaving whether the endpoint is draining
     */
    record LoadReported(String endpoint, int running, int waiting, int slots, boolean leaving) implements Event {}

    /**
     * The prefix cache of an endpoint changed.
     *
     * @param endpoint the name of the endpoint
     * @param sequence the sequence number of the event; a gap shows that events were lost
     * @param prefixKey the hash of the prefix
     * @param present true if the prefix was added, false if it was removed
     */
    record CacheChanged(String endpoint, long sequence, long prefixKey, boolean present) implements Event {}

    /**
     * The directory published its list of endpoints.
     *
     * @param endpoints all registered endpoints
     */
    record EndpointsListed(List<EndpointStatus> endpoints) implements Event {
        /** Copies the list. */
        public EndpointsListed {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * A configuration was applied.
     *
     * @param config the configuration
     */
    record ConfigAdopted(ServingConfig config) implements Event {}

    /**
     * A shutdown of the instance was requested.
     *
     * @param rejectQueued whether queued requests are rejected immediately
     */
    record ShutdownRequested(boolean rejectQueued) implements Event {}

    /**
     * A snapshot of the instance's state was requested.
     *
     * @param receiver the callback for the snapshot, run on the decision loop's thread
     */
    record StatusRequested(java.util.function.Consumer<StatusSnapshot> receiver) implements Event {}

    /**
     * An action to run on the decision loop's thread.
     *
     * @param action the action
     */
    record Task(Runnable action) implements Event {}

    /** A timer may be due. */
    record TimerDue() implements Event {}
}
