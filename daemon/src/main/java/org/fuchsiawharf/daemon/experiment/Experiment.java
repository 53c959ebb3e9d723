package org.fuchsiawharf.daemon.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.fuchsiawharf.core.request.Counters;
import org.fuchsiawharf.daemon.instance.EntryInstance;
import org.fuchsiawharf.daemon.load.CallerRecord;
import org.fuchsiawharf.daemon.load.LoadRunner;
import org.fuchsiawharf.daemon.load.LoadSchedule;
import org.fuchsiawharf.daemon.load.LoadSchedule.Phase;
import org.fuchsiawharf.daemon.load.LoadSummary;
import org.fuchsiawharf.daemon.load.StageCost;
import org.fuchsiawharf.standin.Ledger;

/**
 * Runs a scenario on a deployment, with the policies under test or with the baseline policies.
 *
 * <p>The same deployment, scenario and seed give the same schedule for both sets of policies. Keeps no state between
 * runs.
 */
public final class Experiment {
    private static final int INSTANCES_PER_ZONE = 3;
    private static final long WARM_UP_MILLIS = 4_000;
    private static final double WARM_UP_SHARE = 0.6;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final double MILLIS_PER_SECOND = 1_000;
    private static final long WARM_UP_SEED = 7;

    private final Deployment deployment;
    private final Scenario scenario;
    private final long seed;

    /**
     * Creates an experiment.
     *
     * @param deployment the deployment to run, not null
     * @param scenario the load and the fault, not null
     * @param seed the seed of all random choices
     */
    public Experiment(Deployment deployment, Scenario scenario, long seed) {
        this.deployment = deployment;
        this.scenario = scenario;
        this.seed = seed;
    }

    /**
     * Runs the scenario.
     *
     * @param baseline whether the instances use the baseline policies
     * @param progressListener the listener that is notified of the progress of the load, not null
     * @return the result, never null
     */
    public ExperimentResult run(boolean baseline, LoadRunner.ProgressListener progressListener) {
        List<Phase> phases = scenario.getPhases(deployment.getCapacity());
        LoadSchedule schedule = LoadSchedule.of(deployment.templates(), phases, "x-", seed);
        Phase warmUp = new Phase(deployment.getCapacity() * WARM_UP_SHARE, WARM_UP_MILLIS);
        ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor();
        try (EmbeddedCluster cluster = new EmbeddedCluster(deployment, INSTANCES_PER_ZONE, baseline, seed)) {
            LoadRunner warmUpRunner = new LoadRunner(cluster.getCallerClient(), cluster.getBalancer(), (s, e, a) -> {});
            warmUpRunner.run(LoadSchedule.of(deployment.templates(), List.of(warmUp), "w-", WARM_UP_SEED));
            var faultFuture = faults.schedule(
                    () -> scenario.inject(cluster), scenario.getFaultStartMillis(), TimeUnit.MILLISECONDS);
            LoadRunner loadRunner = new LoadRunner(cluster.getCallerClient(), cluster.getBalancer(), progressListener);
            List<CallerRecord> records = loadRunner.run(schedule);
            return toResult(baseline, records, cluster, await(faultFuture));
        } finally {
            faults.shutdownNow();
        }
    }

    private static Map<String, Double> await(Future<Map<String, Double>> faultFuture) {
        try {
            return faultFuture.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Map.of();
        } catch (ExecutionException e) {
            throw new IllegalStateException("fault injection failed", e.getCause());
        }
    }

    // -----------------------------------------------------------------------

    private ExperimentResult toResult(
            boolean baseline, List<CallerRecord> records, EmbeddedCluster cluster, Map<String, Double> figures) {
        List<Phase> phases = scenario.getPhases(deployment.getCapacity());
        List<Ledger.View> runs = cluster.getFleet().getLedger().toPage().runs();
        LoadSummary summary = LoadSummary.of(records, runs, deployment.getNonRepeatableStages());
        long totalMillis = phases.stream().mapToLong(Phase::millis).sum();
        long fromMillis = scenario.getFaultStartMillis();
        long toMillis = scenario.hasBurst() ? fromMillis + Scenario.BURST_MILLIS : totalMillis;
        if (!scenario.hasBurst()) {
            fromMillis = 0;
        }
        double goodput = countAttained(records, fromMillis, toMillis) / ((toMillis - fromMillis) / MILLIS_PER_SECOND);
        return new ExperimentResult(
                baseline ? "baseline" : "policy",
                summary,
                attainment(checkedRecords(records), scenario.getCheckedFromMillis(), totalMillis),
                goodput / deployment.getCapacity(),
                wastedShare(summary),
                scenario.hasBurst() ? recoveryMillis(records, toMillis) : 0,
                figures,
                cluster.getFleet().getPlatform().getStore().getCallCount(),
                sumCounters(cluster),
                ExperimentResult.toSeconds(records, (int) (totalMillis / MILLIS_PER_SECOND)),
                toStages(records, runs, summary));
    }

    private static List<CallerRecord> between(List<CallerRecord> records, long fromMillis, long toMillis) {
        return records.stream()
                .filter(record -> record.planned().atNanos() >= fromMillis * NANOS_PER_MILLI)
                .filter(record -> record.planned().atNanos() < toMillis * NANOS_PER_MILLI)
                .toList();
    }

    private static double countAttained(List<CallerRecord> records, long fromMillis, long toMillis) {
        return between(records, fromMillis, toMillis).stream()
                .filter(CallerRecord::isAttained)
                .count();
    }

    private List<CallerRecord> checkedRecords(List<CallerRecord> records) {
        return records.stream()
                .filter(record -> scenario.isChecked(record.planned().template()))
                .toList();
    }

    private static double attainment(List<CallerRecord> records, long fromMillis, long toMillis) {
        int total = between(records, fromMillis, toMillis).size();
        return total == 0 ? 0 : countAttained(records, fromMillis, toMillis) / total;
    }

    // Gets the time from the end of the burst to the last request that was not attained, or whose latency exceeded the
    // 99th percentile before the burst by more than 25%.
    private long recoveryMillis(List<CallerRecord> records, long burstEndMillis) {
        double[] latenciesBeforeBurst = between(records, 0, scenario.getFaultStartMillis()).stream()
                .mapToDouble(record -> record.latencyNanos() / (double) NANOS_PER_MILLI)
                .sorted()
                .toArray();
        double normalLatencyMillis = latenciesBeforeBurst.length == 0
                ? 0
                : 1.25 * latenciesBeforeBurst[(int) ((latenciesBeforeBurst.length - 1) * 0.99)];
        long lastMillis = 0;
        for (CallerRecord record : between(records, burstEndMillis, Long.MAX_VALUE / NANOS_PER_MILLI)) {
            boolean normalLatency = record.latencyNanos() / (double) NANOS_PER_MILLI <= normalLatencyMillis;
            if (!record.isAttained() || !normalLatency) {
                lastMillis = Math.max(lastMillis, record.planned().atNanos() / NANOS_PER_MILLI - burstEndMillis);
            }
        }
        return lastMillis;
    }

    private static double wastedShare(LoadSummary summary) {
        return summary.costRatio() == 0 ? 0 : 1 - 1 / summary.costRatio();
    }

    private static Map<String, Long> sumCounters(EmbeddedCluster cluster) {
        Map<String, Long> totals = new TreeMap<>();
        for (EntryInstance instance : cluster.getInstances()) {
            for (Counters.Name name : Counters.Name.values()) {
                totals.merge(name.getWireName(), instance.getCounters().get(name), Long::sum);
            }
        }
        return totals;
    }

    private static List<ExperimentResult.Stage> toStages(
            List<CallerRecord> records, List<Ledger.View> runs, LoadSummary summary) {
        java.util.Set<String> nonces = new java.util.HashSet<>();
        records.forEach(record -> nonces.add(record.planned().nonce()));
        List<ExperimentResult.Stage> stages = new ArrayList<>();
        for (StageCost cost : summary.costByStage()) {
            double[] millis = runs.stream()
                    .filter(run -> run.stage().equals(cost.stage()) && run.millis() >= 0)
                    .filter(run -> nonces.contains(run.nonce()))
                    .mapToDouble(Ledger.View::millis)
                    .sorted()
                    .toArray();
            double p50 = millis.length == 0 ? 0 : millis[millis.length / 2];
            double p99 = millis.length == 0 ? 0 : millis[(int) ((millis.length - 1) * 0.99)];
            stages.add(new ExperimentResult.Stage(cost.stage(), p50, p99, cost.getRatio()));
        }
        return stages;
    }
}
