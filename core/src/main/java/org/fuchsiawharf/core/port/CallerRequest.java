package org.fuchsiawharf.core.port;

import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.Workspace;

/**
 * A caller's request after its form was checked.
 *
 * <p>Immutable and thread-safe.
 *
 * @param pipeline the pipeline to run
 * @param workspace the caller's workspace
 * @param priority the request's priority
 * @param idempotencyKey the caller's key, empty if it gave none
 * @param prefixKey the hash of the prompt prefix, 0 if there is none
 * @param deadlineNanos the deadline on the instance's clock, in nanoseconds
 * @param body the caller's body
 */
public record CallerRequest(
        Pipeline pipeline,
        Workspace workspace,
        Priority priority,
        String idempotencyKey,
        long prefixKey,
        long deadlineNanos,
        Payload body) {}
