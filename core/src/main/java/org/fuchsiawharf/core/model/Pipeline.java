package org.fuchsiawharf.core.model;

import java.util.HashSet;
import java.util.List;
import java.util.Set;

import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.util.Arguments;

/**
 * A chain of stages that runs under one deadline.
 *
 * <p>A call to a service outside pipelines is represented as a pipeline of one stage. Immutable and thread-safe.
 *
 * @param name the pipeline's name
 * @param stages one to six stages with distinct names, in the order of execution
 */
public record Pipeline(String name, List<StageSpec> stages) {
    /** The maximum number of stages in a pipeline. */
    public static final int MAX_STAGES = 6;

    /**
     * Checks the name and the stages, and copies the stages.
     *
     * @throws ArgumentException if the name is malformed, the number of stages is out of bounds or a stage name is
     *     duplicated
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
     * Checks whether every stage is repeatable.
     *
     * @return true if a request to this pipeline is idempotent
     */
    public boolean isIdempotent() {
        return stages.stream().allMatch(StageSpec::repeatable);
    }
}
