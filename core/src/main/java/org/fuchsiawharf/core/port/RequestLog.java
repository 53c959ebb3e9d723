package org.fuchsiawharf.core.port;

import java.util.List;

import org.fuchsiawharf.core.model.Outcome;

/**
 * Receives one record for each request that ended.
 *
 * <p>Called on the loop's thread; implementations return at once.
 */
public interface RequestLog {
    /**
     * Records the end of a request.
     *
     * @param entry the record, not null
     */
    void record(Entry entry);

    /**
     * One ended request.
     *
     * <p>Immutable and thread-safe.
     *
     * @param requestId the request's id
     * @param pipeline the pipeline's name
     * @param workspace the workspace's name
     * @param outcome the outcome
     * @param code why there is no answer, empty if there is one
     * @param micros the time from arrival to the outcome, in microseconds
     * @param attempts every attempt in the order they were sent
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
     * One attempt of a request.
     *
     * @param stage the stage's name
     * @param endpoint the endpoint's name
     * @param attempt the attempt's number
     * @param result {@code ok}, {@code cancelled} or the failure
     * @param micros the time from sending to the end, in microseconds
     */
    record AttemptEntry(String stage, String endpoint, int attempt, String result, long micros) {}
}
