package org.fuchsiawharf.core.model;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.util.Arguments;

/**
 * A chain of stages served under one deadline.
 *
 * <p>A call to a plain service is a pipeline of one stage. Immutable and thread-safe.
 *
 * @param name the pipeline's name
 * @param stages one to six stages in the order they run, with distinct names
 */
public record Pipeline(String name, List<StageSpec> stages) {
    /** The greatest number of stages in a pipeline. */
    public static final int MAX_STAGES = 6;

    /**
     * Checks the stages and copies them.
     *
     * @throws ArgumentException if there are none, too many, or two of one name
     */
    public Pipeline {
        Arguments.name(name, "pipeline.name");
        stages = List.copyOf(stages);
        Arguments.between(stages.size(), 1, MAX_STAGES, "pipeline.stages.size of " + name);
        Set<String> names = new HashSet<>();
        for (StageSpec stage : stages) {
            if (!names.add(stage.name())) {
                throw new ArgumentException("pipeline.stages of " + name, stage.name(), "distinct stage names");
            }
        }
    }

    /**
     * Tells whether every stage may be repeated without harm.
     *
     * @return true if a request to this pipeline is idempotent
     */
    public boolean isIdempotent() {
        return stages.stream().allMatch(StageSpec::repeatable);
    }
}
