package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.RequestKind;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.WeightedService;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Simulates the stage load of the grown coaching example on instances whose processors and links are bounded.
 *
 * <p>The names of the services decide which instances own them, so that each fleet runs with several sets of names.
 */
class TestOwnerCapacityOfFleet {
    private static final int SECONDS = 6;
    private static final int BURST_FROM_SECOND = 3;
    private static final int BURST_TO_SECOND = 5;
    private static final double BURST_FACTOR = 2.7;
    private static final double DEADLINE_SPREAD = 0.15;
    private static final double MAX_BUSY_SHARE = 0.8;
    private static final double MAX_LOSS = 0.05;
    // Hashing by capacity draws small owners for all services named -1 and large ones for two named -9.
    private static final List<String> NAME_SUFFIXES = List.of("-1", "-9");

    /** A fleet, with the capacities of its instances in cores and its share of the load and the endpoints. */
    private enum Fleet {
        MIXED(capacities(6, 1.5, 71, 0.36), 1, 13, 11, 31L),
        SMALL(capacities(0, 1.5, 77, 0.36), 1, 13, 11, 31L),
        EQUAL(capacities(9, 0.75, 0, 0.36), 1 / 9.0, 2, 2, 31L, 32L, 33L);

        private final List<Double> capacities;
        private final double load;
        private final int portalEndpoints;
        private final int otherEndpoints;
        private final List<Long> seeds;

        Fleet(List<Double> capacities, double load, int portalEndpoints, int otherEndpoints, Long... seeds) {
            this.capacities = capacities;
            this.load = load;
            this.portalEndpoints = portalEndpoints;
            this.otherEndpoints = otherEndpoints;
            this.seeds = List.of(seeds);
        }

        private static List<Double> capacities(int large, double largeCores, int small, double smallCores) {
            List<Double> capacities = new ArrayList<>(Collections.nCopies(large, largeCores));
            capacities.addAll(Collections.nCopies(small, smallCores));
            return capacities;
        }

        private static double linkMbps(Member member) {
            return member.capacity() < 0.5 ? 7 : 140;
        }
    }

    /** What bounded instances, and unbounded ones under the same load, made of the requests. */
    private record Comparison(double maxBusyShare, double boundedOnTimeShare, double unboundedOnTimeShare) {}

    private static final Map<Fleet, Comparison> COMPARISONS = new EnumMap<>(Fleet.class);

    private static List<FleetSimulation.Stage> stages(Fleet fleet, String suffix) {
        return List.of(
                new FleetSimulation.Stage(
                        "portal" + suffix, new PieceService(1, 2, 17, 200, 10.06, 37.78, 4_000), fleet.portalEndpoints),
                new FleetSimulation.Stage(
                        "assessor-desk" + suffix,
                        new PieceService(1, 2, 63, 200, 2.72, 8.209, 4_000),
                        fleet.otherEndpoints),
                new FleetSimulation.Stage(
                        "billing" + suffix, new PieceService(1, 2, 86, 200, 1.99, 1.147, 4_000), fleet.otherEndpoints));
    }

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

    private static List<FleetSimulation.RequestClass> kinds(String suffix) {
        PieceStage small = new PieceStage("portal" + suffix, List.of(), 8_000);
        PieceStage large = new PieceStage("portal" + suffix, List.of(), 1_500_000);
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
                                new PieceStage("assessor-desk" + suffix, List.of(0), 60_000),
                                new PieceStage("billing" + suffix, List.of(1), 6_000)),
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
                                new PieceStage("assessor-desk" + suffix, List.of(1), 60_000),
                                new PieceStage("billing" + suffix, List.of(2), 6_000)),
                        50.3,
                        r -> List.of(r.nextDouble() < 0.4 ? drawCount(r, 1.5) : 0, 1, 6, drawCount(r, 10)),
                        30));
    }

    private static Comparison compare(Fleet fleet) {
        return COMPARISONS.computeIfAbsent(fleet, TestOwnerCapacityOfFleet::simulate);
    }

    private static Comparison simulate(Fleet fleet) {
        Map<String, FleetSimulation.OutcomeCounts> bounded = new TreeMap<>();
        Map<String, FleetSimulation.OutcomeCounts> unbounded = new TreeMap<>();
        double maxBusyShare = 0;
        for (String suffix : NAME_SUFFIXES) {
            for (long seed : fleet.seeds) {
                FleetSimulation simulation = newSimulation(fleet, suffix, seed).boundInstances(Fleet::linkMbps);
                add(bounded, simulation.run(fleet.capacities, fleet.load, SECONDS));
                double busyShare = simulation.getMaxBusyShare(1, BURST_FROM_SECOND);
                System.out.printf("%s, names %s: busy share %.2f before the burst%n", fleet, suffix, busyShare);
                maxBusyShare = Math.max(maxBusyShare, busyShare);
                add(unbounded, newSimulation(fleet, suffix, seed).run(fleet.capacities, fleet.load, SECONDS));
            }
        }
        System.out.println(fleet + ", bounded: " + bounded);
        System.out.println(fleet + ", unbounded: " + unbounded);
        return new Comparison(maxBusyShare, onTimeShare(bounded), onTimeShare(unbounded));
    }

    private static FleetSimulation newSimulation(Fleet fleet, String suffix, long seed) {
        return new FleetSimulation(kinds(suffix), stages(fleet, suffix), true, new ObjectiveAdmission(), seed)
                .spreadDeadlines(DEADLINE_SPREAD)
                .addBurst("draft", BURST_FACTOR, BURST_FROM_SECOND, BURST_TO_SECOND);
    }

    private static void add(
            Map<String, FleetSimulation.OutcomeCounts> totals, Map<String, FleetSimulation.OutcomeCounts> counts) {
        counts.forEach((kind, count) -> totals.merge(kind, count, FleetSimulation.OutcomeCounts::add));
    }

    private static double onTimeShare(Map<String, FleetSimulation.OutcomeCounts> counts) {
        FleetSimulation.OutcomeCounts total = new FleetSimulation.OutcomeCounts();
        counts.values().forEach(total::add);
        return total.onTimeShare();
    }

    private static void assertNoProcessorIsExhausted(Fleet fleet) {
        assertThat(compare(fleet).maxBusyShare(), is(lessThan(MAX_BUSY_SHARE)));
    }

    private static void assertAsManyOnTimeAsUnbounded(Fleet fleet) {
        Comparison comparison = compare(fleet);
        assertThat(comparison.boundedOnTimeShare(), is(greaterThan(comparison.unboundedOnTimeShare() - MAX_LOSS)));
    }

    @Test
    void usualLoadExhaustsNoProcessorOfMixedFleet() {
        assertNoProcessorIsExhausted(Fleet.MIXED);
    }

    @Test
    void usualLoadExhaustsNoProcessorOfSmallInstances() {
        assertNoProcessorIsExhausted(Fleet.SMALL);
    }

    @Test
    void usualLoadExhaustsNoProcessorOfEqualInstances() {
        assertNoProcessorIsExhausted(Fleet.EQUAL);
    }

    @Test
    void burstOnMixedFleetIsServedAsByUnboundedInstances() {
        assertAsManyOnTimeAsUnbounded(Fleet.MIXED);
    }

    @Test
    void burstOnSmallInstancesIsServedAsByUnboundedInstances() {
        assertAsManyOnTimeAsUnbounded(Fleet.SMALL);
    }

    @Test
    void burstOnEqualInstancesIsServedAsByUnboundedInstances() {
        assertAsManyOnTimeAsUnbounded(Fleet.EQUAL);
    }
}
