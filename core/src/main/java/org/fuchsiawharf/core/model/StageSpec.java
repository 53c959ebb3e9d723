package org.fuchsiawharf.core.model;

import org.fuchsiawharf.core.util.Arguments;

/**
 * The specification of one stage of a pipeline.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the stage's name, unique in its pipeline, such as {@code rerank}
 * @param service the name of the service whose endpoints run the stage
 * @param repeatable whether a call is idempotent and may be retried
 * @param streaming whether the endpoint responds with a stream of numbered tokens
 */
public record StageSpec(String name, String service, boolean repeatable, boolean streaming) {
    /**
     * Checks the names.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if a name is malformed
     */
    public StageSpec {
        Arguments.name(name, "stage.name");
        Arguments.name(service, "stage.service");
    }
}
