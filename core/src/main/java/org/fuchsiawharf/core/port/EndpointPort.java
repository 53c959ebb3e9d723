package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.model.Endpoint;

/**
 * Sends calls to endpoints.
 *
 * <p>Implementations must not block. Each call that is not cancelled ends with exactly one
 * {@link Event.CallCompleted} or {@link Event.CallFailed}. Called on the decision loop's thread.
 */
public interface EndpointPort {
    /**
     * Sends a call.
     *
     * @param call the call, not null
     */
    void call(StageCall call);

    /**
     * Cancels a call, notifies the endpoint and drops later events of the call.
     *
     * @param id the identifier of the attempt to cancel, not null
     * @param endpoint the endpoint that received the call, not null
     */
    void cancel(AttemptId id, Endpoint endpoint);
}
