package org.fuchsiawharf.core.relay;

import java.util.List;
import java.util.function.Function;

import org.fuchsiawharf.core.pieces.StageBacklog;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.Route;
import org.jspecify.annotations.Nullable;

/**
 * Foretells when the stages of a request will be done.
 *
 * <p>The time of a stage is the backlog of its pool over what the pool works off, and one call with the request's
 * own pieces; the stages add up along the longest path. Stateless and thread-safe.
 */
public final class StageForecast {
    /** Transfer of a result and the messages between instances around a call; a few round trips. */
    private static final double OVERHEAD_MILLIS = 15;

    private final Function<String, @Nullable PieceService> services;
    private final Function<String, StageBacklog> backlogs;

    /**
     * Creates a forecast.
     *
     * @param services finds how the endpoints of a service work on pieces, not null
     * @param backlogs finds how much waits for a service, not null
     */
    public StageForecast(Function<String, @Nullable PieceService> services, Function<String, StageBacklog> backlogs) {
        this.services = services;
        this.backlogs = backlogs;
    }

    /**
     * The expected end of each stage.
     *
     * @param endMillis milliseconds from now, by the stage's number
     * @param waitMillis the part of the longest path that is waiting
     */
    public record Ends(List<Double> endMillis, double waitMillis) {
        /** Copies the list. */
        public Ends {
            endMillis = List.copyOf(endMillis);
        }

        /**
         * Gets when all stages are done.
         *
         * @return milliseconds from now
         */
        public double lastMillis() {
            return endMillis.stream().mapToDouble(d -> d).max().orElse(0);
        }
    }

    /**
     * Foretells the ends of a request's stages.
     *
     * @param route the route, not null
     * @param pieces the number of pieces of each stage, not null
     * @param rank the request's rank
     * @return the expected ends, never null
     */
    public Ends foretell(Route route, List<Integer> pieces, int rank) {
        List<PieceStage> stages = route.stages();
        Double[] ends = new Double[stages.size()];
        double[] waits = new double[stages.size()];
        double longestWait = 0;
        for (int i = 0; i < stages.size(); i++) {
            double start = 0;
            double waited = 0;
            for (int before : stages.get(i).after()) {
                if (ends[before] >= start) {
                    start = ends[before];
                    waited = waits[before];
                }
            }
            int count = i < pieces.size() ? pieces.get(i) : 0;
            double wait = count == 0 ? 0 : waitMillis(stages.get(i).service(), rank);
            ends[i] = start + wait + (count == 0 ? 0 : callMillis(stages.get(i).service(), count, rank));
            waits[i] = waited + wait;
            longestWait = Math.max(longestWait, waits[i]);
        }
        return new Ends(List.of(ends), longestWait);
    }

    /**
     * Foretells how long a new piece waits for a call.
     *
     * @param service the stage service, not null
     * @param rank the piece's rank
     * @return milliseconds
     */
    public double waitMillis(String service, int rank) {
        PieceService spec = services.apply(service);
        StageBacklog backlog = backlogs.apply(service);
        int before = backlog.queuedBefore(rank);
        if (spec == null || backlog.endpoints() == 0 || (backlog.idle() > 0 && before == 0)) {
            return 0;
        }
        double residual = spec.callMillisFor(spec.batch() / 2) / 2 / (backlog.endpoints() * spec.slots());
        return residual + before / (spec.piecesPerMilli() * backlog.endpoints());
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
