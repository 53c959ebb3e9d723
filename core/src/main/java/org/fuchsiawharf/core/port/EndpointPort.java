package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.model.Endpoint;

/**
 * Sends calls to endpoints.
 *
 * <p>Implementations return at once and answer later by events, with exactly one {@link Event.CallCompleted} or
 * {@link Event.CallFailed} for each call that was not cancelled. Called on the loop's thread.
 */
public interface EndpointPort {
    /**
     * Sends a call.
     *
     * @param call the call, not null
     */
    void call(StageCall call);

    /**
     * Cancels a call; the endpoint is told, and later events of it are dropped.
     *
     * @param id the attempt to cancel, not null
     * @param endpoint where it was sent, not null
     */
    void cancel(AttemptId id, Endpoint endpoint);
}
