package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.StageSpec;

/**
 * One call of a stage, ready to send.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the attempt, echoed by the endpoint
 * @param endpoint where to send it
 * @param stage the stage to run
 * @param workspace the caller's workspace
 * @param priority the request's priority
 * @param remainingMillis the time left until the request's deadline, in milliseconds
 * @param prefixKey the hash of the prompt prefix, 0 if there is none
 * @param input the caller's body
 * @param previous the previous stage's answer, {@link Payload#NULL} for the first stage
 * @param partial the text of the tokens already received, empty if none
 * @param offset the number of tokens already received
 * @param reconnect whether the call rejoins a run of the same attempt instead of starting one
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
