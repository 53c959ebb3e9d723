package org.fuchsiawharf.core.relay;

import java.util.List;
import java.util.function.Function;

import org.fuchsiawharf.core.pieces.StageBacklog;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Estimates when the stages of a request will be done.
 *
 * <p>The time of a stage is the backlog of its pool divided by the throughput of the pool, plus one call with the
 * request's own pieces. The times of the stages add up along the longest path. Stateless and thread-safe.
 */
public final class StageForecast {
    /** Time to transfer a result and to exchange messages between instances for a call; a few round trips. */
    private static final double OVERHEAD_MILLIS = 15;

    private final Function<String, @Nullable PieceService> services;
    private final Function<String, StageBacklog> backlogs;

    /**
     * Creates a forecast.
     *
     * @param services gets the piece capacity of a stage service by name, not null
     * @param backlogs gets the backlog of a stage service by name, not null
     */
    public StageForecast(Function<String, @Nullable PieceService> services, Function<String, StageBacklog> backlogs) {
        this.services = services;
        this.backlogs = backlogs;
    }

    /**
     * The expected end times of the stages of a request.
     *
     * @param endMillis the end of each stage by number, in milliseconds from now
     * @param waitMillis the longest sum of waiting times along a path, in milliseconds
     */
    public record StageEstimate(List<Double> endMillis, double waitMillis) {
        /** Copies the list. */
        public StageEstimate {
            endMillis = List.copyOf(endMillis);
        }

        /**
         * Gets the expected end of the last stage.
         *
         * @return the end, in milliseconds from now; 0 if there are no stages
         */
        public double lastMillis() {
            return endMillis.stream().mapToDouble(d -> d).max().orElse(0);
        }
    }

    /**
     * Estimates the end times of a request's stages.
     *
     * @param route the route, not null
     * @param pieces the number of pieces of each stage, not null
     * @param rank the priority rank of the request
     * @return the estimate, never null
     */
    public StageEstimate estimate(Route route, List<Integer> pieces, int rank) {
        List<PieceStage> stages = route.stages();
        Double[] ends = new Double[stages.size()];
        double[] waits = new double[stages.size()];
        double longestWait = 0;
        for (int i = 0; i < stages.size(); i++) {
            double start = 0;
            double waited = 0;
            for (int dependency : stages.get(i).after()) {
                if (ends[dependency] >= start) {
                    start = ends[dependency];
                    waited = waits[dependency];
                }
            }
            int count = i < pieces.size() ? pieces.get(i) : 0;
            double wait = count == 0 ? 0 : waitMillis(stages.get(i).service(), rank);
            ends[i] = start + wait + (count == 0 ? 0 : callMillis(stages.get(i).service(), count, rank));
            waits[i] = waited + wait;
            longestWait = Math.max(longestWait, waits[i]);
        }
        return new StageEstimate(List.of(ends), longestWait);
    }

    /**
     * Estimates how long a new piece waits until its call starts.
     *
     * @param service the name of the stage service, not null
     * @param rank the priority rank of the piece
     * @return the waiting time, in milliseconds
     */
    public double waitMillis(String service, int rank) {
        PieceService spec = services.apply(service);
        return spec == null ? 0 : backlogs.apply(service).waitMillis(spec, rank);
    }

    private double callMillis(String service, int pieces, int rank) {
        PieceService spec = services.apply(service);
        if (spec == null) {
            return 0;
        }
        StageBacklog backlog = backlogs.apply(service);
        int shared = backlog.queuedBefore(rank) / Math.max(1, backlog.endpoints());
        return OVERHEAD_MILLIS + spec.callMillisFor(Math.min(spec.batch(), pieces + shared));
    }
}
