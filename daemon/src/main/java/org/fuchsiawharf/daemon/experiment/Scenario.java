package org.fuchsiawharf.daemon.experiment;

import java.util.List;
import java.util.Locale;
import java.util.Map;

import org.fuchsiawharf.daemon.load.LoadSchedule.Phase;
import org.fuchsiawharf.daemon.load.RequestTemplate;
import org.fuchsiawharf.standin.Faults;

/**
 * A scenario of an experiment: a load and the fault injected during it.
 *
 * <p>Immutable and thread-safe.
 */
public enum Scenario {
    /** A load of 60% of capacity without a fault. */
    STEADY(0.6, 12_000, 0, 0) {
        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            return Map.of();
        }
    },
    /** An engine becomes ten times slower while it reports that it is idle. */
    SLOW_ENDPOINT(0.6, 16_000, 4_000, 2_000) {
        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            Faults faults =
                    cluster.getFleet().getEndpoint(cluster.getEngineName(0)).getFaults();
            faults.setSlowFactor(SLOW_FACTOR);
            faults.setReportsIdle(true);
            return Map.of();
        }
    },
    /** An engine stops with its streams open; the directory reflects this 2 s later. */
    DEAD_ENDPOINT(0.6, 16_000, 4_000, 2_000) {
        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            cluster.getFleet().kill(cluster.getEngineName(0));
            return Map.of();
        }
    },
    /** The offered load is three times the capacity for 10 s. */
    BURST(0.6, 22_000, 4_000, 0) {
        @Override
        List<Phase> getPhases(double capacity) {
            return List.of(
                    new Phase(capacity * 0.6, 4_000),
                    new Phase(capacity * BURST_FACTOR, BURST_MILLIS),
                    new Phase(capacity * 0.6, 8_000));
        }

        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            return Map.of();
        }

        @Override
        boolean hasBurst() {
            return true;
        }
    },
    /** All instances, nine in three zones, are replaced one after another while dialogues are open. */
    ROLLING_RESTART(0.6, 28_000, 3_000, 0) {
        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            int instanceCount = cluster.getInstances().size();
            for (int i = 0; i < instanceCount; i++) {
                cluster.replaceInstance(i);
            }
            return Map.of();
        }
    },
    /** The directory and the key-value service are unavailable for 60 s; then a plan is confirmed. */
    PLATFORM_DOWN(0.6, 72_000, 4_000, 0) {
        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            cluster.getFleet().getPlatform().setDown(true);
            ConfigurationActions.sleep(OUTAGE_MILLIS);
            cluster.getFleet().getPlatform().setDown(false);
            return Map.of("spreadMillis", ConfigurationActions.measurePropagationMillis(cluster));
        }

        @Override
        boolean isChecked(RequestTemplate template) {
            return !template.keyed();
        }
    },
    /** Five operators concurrently confirm plans that change the same configuration items while requests are served. */
    RACES(0.6, 14_000, 2_000, 0) {
        @Override
        Map<String, Double> inject(EmbeddedCluster cluster) {
            return ConfigurationActions.confirmConcurrently(cluster, CONCURRENT_OPERATORS, PLANS_PER_OPERATOR);
        }
    };

    /** The duration of the burst, in milliseconds. */
    static final long BURST_MILLIS = 10_000;

    private static final double SLOW_FACTOR = 10;
    private static final long OUTAGE_MILLIS = 60_000;
    private static final int CONCURRENT_OPERATORS = 5;
    private static final int PLANS_PER_OPERATOR = 40;
    private static final double BURST_FACTOR = 3;

    private final double shareOfCapacity;
    private final long durationMillis;
    private final long faultStartMillis;
    private final long maxDetectionMillis;

    Scenario(double shareOfCapacity, long durationMillis, long faultStartMillis, long maxDetectionMillis) {
        this.shareOfCapacity = shareOfCapacity;
        this.durationMillis = durationMillis;
        this.faultStartMillis = faultStartMillis;
        this.maxDetectionMillis = maxDetectionMillis;
    }

    /**
     * Parses the name of a scenario.
     *
     * @param name a name such as {@code slow-endpoint}, not null
     * @return the scenario, never null
     * @throws org.fuchsiawharf.core.error.ArgumentException if no scenario has the name
     */
    public static Scenario parse(String name) {
        for (Scenario scenario : values()) {
            if (scenario.getWireName().equals(name)) {
                return scenario;
            }
        }
        throw new org.fuchsiawharf.core.error.ArgumentException("experiment", name, "one of " + listNames());
    }

    /**
     * Lists the names of all scenarios.
     *
     * @return the names, separated by commas, never null
     */
    public static String listNames() {
        return String.join(
                ", ",
                java.util.Arrays.stream(values()).map(Scenario::getWireName).toList());
    }

    /**
     * Gets the name of the scenario on the command line.
     *
     * @return the name, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /**
     * Gets the phases of the load.
     *
     * @param capacity the greatest request rate that the engines can serve, in requests per second
     * @return the phases, never null
     */
    List<Phase> getPhases(double capacity) {
        return List.of(new Phase(capacity * shareOfCapacity, durationMillis));
    }

    /**
     * Gets the time at which the fault begins.
     *
     * @return the time, in milliseconds from the start of the load
     */
    long getFaultStartMillis() {
        return faultStartMillis;
    }

    /**
     * Gets the time from which the acceptance bounds apply: the start of the fault plus the time allowed to detect it.
     *
     * @return the time, in milliseconds from the start of the load
     */
    long getCheckedFromMillis() {
        return faultStartMillis + maxDetectionMillis;
    }

    /**
     * Checks whether the load has a burst that begins at the time of the fault.
     *
     * @return true if the load has a burst
     */
    boolean hasBurst() {
        return false;
    }

    /**
     * Checks whether the acceptance bounds apply to the requests of a template.
     *
     * @param template the template, not null
     * @return true if the bounds apply
     */
    boolean isChecked(RequestTemplate template) {
        return true;
    }

    /**
     * Injects the fault. May block for the duration of the fault.
     *
     * @param cluster the cluster, not null
     * @return the measurements taken by the scenario, by name, never null
     */
    abstract Map<String, Double> inject(EmbeddedCluster cluster);
}
