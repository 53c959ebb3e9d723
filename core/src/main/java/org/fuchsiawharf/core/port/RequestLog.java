package org.fuchsiawharf.core.port;

import java.util.List;

import org.fuchsiawharf.core.model.Outcome;

/**
 * Records completed requests, one entry per request.
 *
 * <p>Implementations must not block. Called on the decision loop's thread.
 */
public interface RequestLog {
    /**
     * Records a completed request.
     *
     * @param entry the log entry, not null
     */
    void record(Entry entry);

    /**
     * The log entry of a completed request.
     *
     * <p>Immutable and thread-safe.
     *
     * @param requestId the identifier of the request
     * @param pipeline the name of the pipeline
     * @param workspace the name of the workspace
     * @param outcome the outcome
     * @param code the error code, empty if the request was answered
     * @param micros the time from arrival to the outcome, in microseconds
     * @param attempts the attempts in the order in which they ended
     */
    record Entry(
            String requestId,
            String pipeline,
            String workspace,
            Outcome outcome,
            String code,
            long micros,
            List<AttemptEntry> attempts) {}

    /**
     * The log entry of one attempt of a request.
     *
     * @param stage the name of the stage
     * @param endpoint the name of the endpoint
     * @param attempt the number of the attempt within the request
     * @param result {@code ok}, {@code cancelled}, {@code migrated} or the wire name of the failure
     * @param micros the time from sending the call to its end, in microseconds
     */
    record AttemptEntry(String stage, String endpoint, int attempt, String result, long micros) {}
}
