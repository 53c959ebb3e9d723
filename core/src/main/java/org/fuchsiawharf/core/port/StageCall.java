package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.StageSpec;

/**
 * A call of one stage at an endpoint.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the identifier of the attempt, echoed by the endpoint
 * @param endpoint the endpoint to call
 * @param stage the stage to run
 * @param workspace the name of the caller's workspace
 * @param priority the priority of the request
 * @param remainingMillis the time left until the request's deadline, in milliseconds
 * @param prefixKey the hash of the prompt prefix, 0 if there is none
 * @param input the body of the caller's request
 * @param previous the response of the previous stage, {@link Payload#NULL} for the first stage
 * @param partial the text of the tokens received so far, empty if there are none
 * @param offset the number of tokens received so far
 * @param reconnect whether the call rejoins a run of the same attempt instead of starting a new one
 */
public record StageCall(
        AttemptId id,
        Endpoint endpoint,
        StageSpec stage,
        String workspace,
        Priority priority,
        long remainingMillis,
        long prefixKey,
        Payload input,
        Payload previous,
        String partial,
        long offset,
        boolean reconnect) {}
