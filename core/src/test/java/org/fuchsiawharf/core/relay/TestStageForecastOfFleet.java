package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.RequestKind;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.WeightedService;
import org.hamcrest.Matcher;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

/**
 * Simulates the stage load of the grown coaching example on 77 instances.
 *
 * <p>Draft has the highest priority, turn the lowest and the most stages. The calls of the last stage take longer than
 * specified, since their endpoints transfer many inputs.
 */
class TestStageForecastOfFleet {
    private static final int INSTANCES = 77;
    private static final int SECONDS = 14;
    private static final double DEADLINE_SPREAD = 0.15;
    private static final double RERANK_DURATION_FACTOR = 1.4;
    private static final List<Long> SEEDS = List.of(21L, 22L, 23L);

    private static final List<FleetSimulation.Stage> STAGES = List.of(
            new FleetSimulation.Stage("encode", new PieceService(1, 2, 17, 200, 10.06, 37.78, 4_000), 13),
            new FleetSimulation.Stage("retrieve", new PieceService(1, 2, 63, 200, 2.72, 8.209, 4_000), 11),
            new FleetSimulation.Stage("rerank", new PieceService(1, 2, 86, 200, 1.99, 1.147, 4_000), 11));

    private static Route route(String name, int rank, long objective, long timeout, PieceStage... stages) {
        return new Route(
                name,
                "h",
                "/" + name + "/",
                RequestKind.SINGLE_STREAM,
                timeout,
                objective,
                250,
                rank,
                List.of(new WeightedService("engine", 1)),
                1,
                List.of(stages),
                true,
                true);
    }

    private static int drawCount(SplittableRandom random, double mean) {
        return 1 + (int) (random.nextDouble() * 2 * (mean - 0.5));
    }

    private static List<FleetSimulation.RequestClass> kinds() {
        PieceStage small = new PieceStage("encode", List.of(), 8_000);
        PieceStage large = new PieceStage("encode", List.of(), 1_500_000);
        return List.of(
                new FleetSimulation.RequestClass(
                        route("assess", 1, 1_115, 6_000, large),
                        109,
                        r -> List.of(r.nextDouble() < 0.7 ? drawCount(r, 2.5) : 0),
                        130),
                new FleetSimulation.RequestClass(
                        route(
                                "draft",
                                0,
                                1_808,
                                6_000,
                                small,
                                new PieceStage("retrieve", List.of(0), 60_000),
                                new PieceStage("rerank", List.of(1), 6_000)),
                        131,
                        r -> List.of(1, 6, drawCount(r, 10)),
                        60),
                new FleetSimulation.RequestClass(
                        route(
                                "turn",
                                2,
                                1_706,
                                20_000,
                                large,
                                small,
                                new PieceStage("retrieve", List.of(1), 60_000),
                                new PieceStage("rerank", List.of(2), 6_000)),
                        50.3,
                        r -> List.of(r.nextDouble() < 0.4 ? drawCount(r, 1.5) : 0, 1, 6, drawCount(r, 10)),
                        30));
    }

    /** Collects the expected and the actual end of the stages of each answered request, by route. */
    private static final class EndsLog implements DecisionLog {
        private final Map<String, List<Double>> expected = new TreeMap<>();
        private final Map<String, List<Double>> actual = new TreeMap<>();

        @Override
        public void write(String event, @Nullable Object... fields) {
            if (!event.equals("request.ended")
                    || !valueOf("outcome", fields).equals("answered")
                    || valueOf("stage_ends", fields).isEmpty()) {
                return;
            }
            String route = valueOf("route", fields);
            double[] latest = {0, 0};
            for (String end : valueOf("stage_ends", fields).split(" ")) {
                String[] millis = end.substring(end.indexOf(':') + 1).split("/");
                latest[0] = Math.max(latest[0], Double.parseDouble(millis[0]));
                latest[1] = Math.max(latest[1], Double.parseDouble(millis[1]));
            }
            expected.computeIfAbsent(route, r -> new ArrayList<>()).add(latest[0]);
            actual.computeIfAbsent(route, r -> new ArrayList<>()).add(latest[1]);
        }

        private static String valueOf(String name, @Nullable Object... fields) {
            return String.valueOf(fields[Arrays.asList(fields).indexOf(name) + 1]);
        }

        private static double median(Map<String, List<Double>> valuesByRoute, String route) {
            List<Double> sorted = Objects.requireNonNull(valuesByRoute.get(route)).stream()
                    .sorted()
                    .toList();
            return sorted.get(sorted.size() / 2);
        }
    }

    private static Map<String, FleetSimulation.OutcomeCounts> run(DecisionLog log, double loadFactor, double burst) {
        return run(log, loadFactor, burst, DEADLINE_SPREAD);
    }

    private static Map<String, FleetSimulation.OutcomeCounts> run(
            DecisionLog log, double loadFactor, double burst, double deadlineSpread) {
        Map<String, FleetSimulation.OutcomeCounts> totals = new TreeMap<>();
        for (long seed : SEEDS) {
            new FleetSimulation(kinds(), STAGES, true, new ObjectiveAdmission(), seed)
                    .spreadDeadlines(deadlineSpread)
                    .slowStage("rerank", RERANK_DURATION_FACTOR)
                    .addBurst("draft", burst, 4, 8)
                    .logTo(log)
                    .run(INSTANCES, loadFactor, SECONDS)
                    .forEach((kind, counts) -> totals.merge(kind, counts, FleetSimulation.OutcomeCounts::add));
        }
        System.out.println("grown coaching, load " + loadFactor + ", burst " + burst + ", deadlines spread by "
                + deadlineSpread + ": " + totals);
        return totals;
    }

    private static Matcher<Double> withinATenthOf(double value) {
        return closeTo(value, value / 10);
    }

    @Test
    void forecastMeetsOutcomeOfLeastUrgentRankUnderSteadyLoad() {
        for (double load : new double[] {1.0, 1.2}) {
            EndsLog log = new EndsLog();
            run(log, load, 1);
            for (String route : log.expected.keySet()) {
                double expected = EndsLog.median(log.expected, route);
                double actual = EndsLog.median(log.actual, route);
                System.out.printf("load %.1f, %s: expected %.0f ms, took %.0f ms%n", load, route, expected, actual);
                assertThat(route + " at " + load, expected, is(withinATenthOf(actual)));
            }
        }
    }

    @Test
    void leastUrgentThatAreAdmittedDuringBurstComeOnTime() {
        Map<String, FleetSimulation.OutcomeCounts> counts = run(DecisionLog.NONE, 1, 2.7);
        FleetSimulation.OutcomeCounts turns = Objects.requireNonNull(counts.get("turn"));
        assertThat(turns.onTime / (double) (turns.onTime + turns.late), is(greaterThan(0.8)));
    }

    @Test
    void returningCallersDoNotDisplaceNewOnesThatCanBeOnTime() {
        Map<String, FleetSimulation.OutcomeCounts> recognized = run(DecisionLog.NONE, 1, 2.7, 0);
        Map<String, FleetSimulation.OutcomeCounts> unrecognized = run(DecisionLog.NONE, 1, 2.7, DEADLINE_SPREAD);
        for (String route : List.of("draft", "turn")) {
            double bound = onTimeShare(recognized, route) - 0.1;
            assertThat(route, onTimeShare(unrecognized, route), is(greaterThan(bound)));
        }
    }

    private static double onTimeShare(Map<String, FleetSimulation.OutcomeCounts> counts, String route) {
        return Objects.requireNonNull(counts.get(route)).onTimeShare();
    }
}
