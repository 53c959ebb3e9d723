package org.fuchsiawharf.core.request;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.routing.LatencyEstimate;

/**
 * Estimates the latency of each stage of each pipeline.
 *
 * <p>An estimate without a sample for one second halves with each further second, so that a high estimate cannot
 * reject requests indefinitely and thereby prevent new samples. Confined to the decision loop.
 */
final class StageEstimates {
    private static final double HALF_LIFE_NANOS = 1e9;

    private final Map<String, StageEstimate[]> byPipeline = new HashMap<>();

    /**
     * Gets the latency estimate of a stage, without decay.
     *
     * @param pipeline the pipeline, not null
     * @param stage the index of the stage, from 0
     * @return the estimate, never null
     */
    LatencyEstimate get(Pipeline pipeline, int stage) {
        return estimatesOf(pipeline)[stage].estimate;
    }

    /**
     * Adds a latency sample.
     *
     * @param pipeline the pipeline, not null
     * @param stage the index of the stage, from 0
     * @param nanos the latency of the stage, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     */
    void add(Pipeline pipeline, int stage, long nanos, long nowNanos) {
        StageEstimate stageEstimate = estimatesOf(pipeline)[stage];
        stageEstimate.estimate.add(nanos);
        stageEstimate.lastSampleNanos = nowNanos;
    }

    /**
     * Gets the estimated total latency of a stage and all later stages.
     *
     * @param pipeline the pipeline, not null
     * @param fromStage the index of the first stage, from 0
     * @param deviations the number of mean deviations to add to each estimate
     * @param nowNanos the current time, in nanoseconds
     * @return the latency in nanoseconds
     */
    double getWorkNanos(Pipeline pipeline, int fromStage, double deviations, long nowNanos) {
        StageEstimate[] stageEstimates = estimatesOf(pipeline);
        double work = 0;
        for (int i = fromStage; i < stageEstimates.length; i++) {
            double age = (nowNanos - stageEstimates[i].lastSampleNanos) / HALF_LIFE_NANOS;
            double decay = age <= 1 ? 1 : Math.pow(0.5, age - 1);
            work += decay * stageEstimates[i].estimate.getBound(deviations);
        }
        return work;
    }

    private StageEstimate[] estimatesOf(Pipeline pipeline) {
        StageEstimate[] stageEstimates = byPipeline.get(pipeline.name());
        if (stageEstimates == null || stageEstimates.length != pipeline.stages().size()) {
            stageEstimates = new StageEstimate[pipeline.stages().size()];
            for (int i = 0; i < stageEstimates.length; i++) {
                stageEstimates[i] = new StageEstimate();
            }
            byPipeline.put(pipeline.name(), stageEstimates);
        }
        return stageEstimates;
    }

    private static final class StageEstimate {
        private final LatencyEstimate estimate = new LatencyEstimate(0);
        private long lastSampleNanos;
    }
}
