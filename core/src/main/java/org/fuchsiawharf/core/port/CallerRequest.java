package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.Workspace;

/**
 * A validated request of a caller.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pipeline the pipeline to run
 * @param workspace the workspace of the caller
 * @param priority the priority of the request
 * @param idempotencyKey the idempotency key, empty if the caller set none
 * @param prefixKey the hash of the prompt prefix, 0 if there is none
 * @param deadlineNanos the deadline on the instance's clock, in nanoseconds
 * @param body the request body
 */
public record CallerRequest(
        Pipeline pipeline,
        Workspace workspace,
        Priority priority,
        String idempotencyKey,
        long prefixKey,
        long deadlineNanos,
        Payload body) {}
