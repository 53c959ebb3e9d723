package org.fuchsiawharf.core.model;

import org.fuchsiawharf.core.util.Arguments;

/**
 * One stage of a pipeline.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the stage's name within its pipeline, as in {@code rerank}
 * @param service the service whose endpoints run the stage
 * @param repeatable whether a call may be repeated without harm
 * @param streaming whether the endpoint answers as a stream of numbered tokens
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
