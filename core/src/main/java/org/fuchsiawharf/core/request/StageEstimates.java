package org.fuchsiawharf.core.request;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Estimates the time of each stage of each pipeline.
 *
 * <p>An estimate without recent samples fades, so that requests refused because of it are tried again. Confined to
 * the decision loop.
 */
final class StageEstimates {
    private static final double FADE_NANOS = 1e9;

    private final Map<String, Stage[]> byPipeline = new HashMap<>();

    /**
     * Gets a stage's estimate.
     *
     * @param pipeline the pipeline, not null
     * @param stage the stage's index
     * @return the estimate, never null
     */
    LatencyEstimate get(Pipeline pipeline, int stage) {
        return stagesOf(pipeline)[stage].estimate;
    }

    /**
     * Adds a sample.
     *
     * @param pipeline the pipeline, not null
     * @param stage the stage's index
     * @param nanos the stage's time, in nanoseconds
     * @param nowNanos the time
     */
    void add(Pipeline pipeline, int stage, long nanos, long nowNanos) {
        Stage known = stagesOf(pipeline)[stage];
        known.estimate.add(nanos);
        known.lastNanos = nowNanos;
    }

    /**
     * Gets the typical time of a stage and all after it.
     *
     * @param pipeline the pipeline, not null
     * @param fromStage the first stage's index
     * @param deviations the number of mean deviations to add
     * @param nowNanos the time
     * @return nanoseconds
     */
    double getWork(Pipeline pipeline, int fromStage, double deviations, long nowNanos) {
        Stage[] stages = stagesOf(pipeline);
        double work = 0;
        for (int i = fromStage; i < stages.length; i++) {
            double age = (nowNanos - stages[i].lastNanos) / FADE_NANOS;
            double fade = age <= 1 ? 1 : Math.pow(0.5, age - 1);
            work += fade * stages[i].estimate.getBound(deviations);
        }
        return work;
    }

    private Stage[] stagesOf(Pipeline pipeline) {
        Stage[] stages = byPipeline.get(pipeline.name());
        if (stages == null || stages.length != pipeline.stages().size()) {
            stages = new Stage[pipeline.stages().size()];
            for (int i = 0; i < stages.length; i++) {
                stages[i] = new Stage();
            }
            byPipeline.put(pipeline.name(), stages);
        }
        return stages;
    }

    private static final class Stage {
        private final LatencyEstimate estimate = new LatencyEstimate(0);
        private long lastNanos;
    }
}
