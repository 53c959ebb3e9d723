package org.fuchsiawharf.core.port;

import java.util.List;

import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.ServingConfig;

/**
 * An input to the decisions.
 *
 * <p>Every event is immutable and thread-safe.
 */
public sealed interface Event {
    /**
     * A caller's request has been read whole.
     *
     * @param request the request
     * @param caller where its answer goes
     */
    record RequestArrived(CallerRequest request, CallerPort caller) implements Event {}

    /**
     * A caller closed its connection before its answer.
     *
     * @param caller the port given with the request
     */
    record CallerLeft(CallerPort caller) implements Event {}

    /**
     * An endpoint sent one token of a stream.
     *
     * @param id the attempt that the endpoint named
     * @param offset the token's number, from 0
     * @param text the token
     */
    record TokenReceived(AttemptId id, long offset, String text) implements Event {}

    /**
     * An endpoint answered a call whole.
     *
     * @param id the attempt that the endpoint named
     * @param answer the answer; for a stream {@link Payload#NULL}
     * @param tokens the number of tokens of a finished stream, 0 otherwise
     */
    record CallCompleted(AttemptId id, Payload answer, long tokens) implements Event {}

    /**
     * A call ended without an answer.
     *
     * @param id the attempt of the call
     * @param failure why
     * @param detail what was seen, for logs
     */
    record CallFailed(AttemptId id, CallFailure failure, String detail) implements Event {}

    /**
     * An endpoint reported its load.
     *
     * @param endpoint the endpoint's name
     * @param running calls running when the report was made
     * @param waiting calls waiting when the report was made
     * @param slots the number of calls that run at once
     * @param leaving whether the endpoint is leaving
     */
    record LoadReported(String endpoint, int running, int waiting, int slots, boolean leaving) implements Event {}

    /**
     * An endpoint's prefix cache changed.
     *
     * @param endpoint the endpoint's name
     * @param sequence the event's number; a gap means that events were lost
     * @param prefixKey the prefix's hash
     * @param present whether the prefix was added, else removed
     */
    record CacheChanged(String endpoint, long sequence, long prefixKey, boolean present) implements Event {}

    /**
     * The directory listed the endpoints.
     *
     * @param endpoints every endpoint that the directory knows
     */
    record EndpointsListed(List<EndpointStatus> endpoints) implements Event {
        /** Copies the list. */
        public EndpointsListed {
            endpoints = List.copyOf(endpoints);
        }
    }

    /**
     * A configuration came into force.
     *
     * @param config the configuration
     */
    record ConfigAdopted(ServingConfig config) implements Event {}

    /**
     * The instance was told to stop.
     *
     * @param refuseQueued whether queued requests are refused at once
     */
    record ShutdownRequested(boolean refuseQueued) implements Event {}

    /**
     * Asks for a snapshot of the instance's state.
     *
     * @param receiver receives the snapshot on the loop's thread
     */
    record StatusRequested(java.util.function.Consumer<StatusSnapshot> receiver) implements Event {}

    /**
     * Runs on the loop's thread.
     *
     * @param action what to run
     */
    record Task(Runnable action) implements Event {}

    /** A timer may be due. */
    record TimerDue() implements Event {}
}
