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
 * Runs one scenario with one set of policies.
 *
 * <p>The same deployment, scenario and seed give the same schedule for both sets. Holds no state between runs.
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
     * @param deployment what to run, not null
     * @param scenario what goes wrong, not null
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
     * @param baseline whether the baseline policies are used
     * @param progressListener the listener that is notified of the progress of the load, not null
     * @return the result, never null
     */
    public ExperimentResult run(boolean baseline, LoadRunner.ProgressListener progressListener) {
        List<Phase> phases = scenario.getPhases(deployment.getCapacity());
        LoadSchedule schedule = LoadSchedule.of(deployment.templates(), phases, "x-", seed);
        Phase warmUp = new Phase(deployment.getCapacity() * WARM_UP_SHARE, WARM_UP_MILLIS);
        ScheduledExecutorService faults = Executors.newSingleThreadScheduledExecutor();
        try (EmbeddedCluster cluster = new EmbeddedCluster(deployment, INSTANCES_PER_ZONE, baseline, seed)) {
            LoadRunner warmer = new LoadRunner(cluster.getCallers(), cluster.getBalancer(), (s, e, a) -> {});
            warmer.run(LoadSchedule.of(deployment.templates(), List.of(warmUp), "w-", WARM_UP_SEED));
            var fault =
                    faults.schedule(() -> scenario.inject(cluster), scenario.getFaultMillis(), TimeUnit.MILLISECONDS);
            LoadRunner runner = new LoadRunner(cluster.getCallers(), cluster.getBalancer(), progressListener);
            List<CallerRecord> records = runner.run(schedule);
            return toResult(baseline, records, cluster, await(fault));
        } finally {
            faults.shutdownNow();
        }
    }

    private static Map<String, Double> await(Future<Map<String, Double>> fault) {
        try {
            return fault.get();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            return Map.of();
        } catch (ExecutionException e) {
            throw new IllegalStateException("the fault could not be caused", e.getCause());
        }
    }

    // -----------------------------------------------------------------------

    private ExperimentResult toResult(
            boolean baseline, List<CallerRecord> records, EmbeddedCluster cluster, Map<String, Double> figures) {
        List<Phase> phases = scenario.getPhases(deployment.getCapacity());
        List<Ledger.View> runs = cluster.getFleet().getLedger().toPage().runs();
        LoadSummary summary = LoadSummary.of(records, runs, deployment.getUnsafeStages());
        long totalMillis = phases.stream().mapToLong(Phase::millis).sum();
        long from = scenario.getFaultMillis();
        long to = scenario.hasBurst() ? from + Scenario.BURST_MILLIS : totalMillis;
        if (!scenario.hasBurst()) {
            from = 0;
        }
        double goodput = countAttained(records, from, to) / ((to - from) / MILLIS_PER_SECOND);
        return new ExperimentResult(
                baseline ? "baseline" : "policy",
                summary,
                attainment(judged(records), scenario.getJudgedFromMillis(), totalMillis),
                goodput / deployment.getCapacity(),
                wastedShare(summary),
                scenario.hasBurst() ? recoveryMillis(records, to) : 0,
                figures,
                cluster.getFleet().getPlatform().getStore().getCalls(),
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

    private List<CallerRecord> judged(List<CallerRecord> records) {
        return records.stream()
                .filter(record -> scenario.isJudged(record.planned().template()))
                .toList();
    }

    private static double attainment(List<CallerRecord> records, long fromMillis, long toMillis) {
        int all = between(records, fromMillis, toMillis).size();
        return all == 0 ? 0 : countAttained(records, fromMillis, toMillis) / all;
    }

    // The last request after the burst that was not attained, or took longer than all but 1% did before it.
    private long recoveryMillis(List<CallerRecord> records, long burstEnd) {
        double[] before = between(records, 0, scenario.getFaultMillis()).stream()
                .mapToDouble(record -> record.latencyNanos() / (double) NANOS_PER_MILLI)
                .sorted()
                .toArray();
        double usual = before.length == 0 ? 0 : 1.25 * before[(int) ((before.length - 1) * 0.99)];
        long last = 0;
        for (CallerRecord record : between(records, burstEnd, Long.MAX_VALUE / NANOS_PER_MILLI)) {
            boolean usualLatency = record.latencyNanos() / (double) NANOS_PER_MILLI <= usual;
            if (!record.isAttained() || !usualLatency) {
                last = Math.max(last, record.planned().atNanos() / NANOS_PER_MILLI - burstEnd);
            }
        }
        return last;
    }

    private static double wastedShare(LoadSummary summary) {
        return summary.costRatio() == 0 ? 0 : 1 - 1 / summary.costRatio();
    }

    private static Map<String, Long> sumCounters(EmbeddedCluster cluster) {
        Map<String, Long> sums = new TreeMap<>();
        for (EntryInstance instance : cluster.getInstances()) {
            for (Counters.Name name : Counters.Name.values()) {
                sums.merge(name.getWireName(), instance.getCounters().get(name), Long::sum);
            }
        }
        return sums;
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
