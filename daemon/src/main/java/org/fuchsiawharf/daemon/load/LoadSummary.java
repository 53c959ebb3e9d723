package org.fuchsiawharf.daemon.load;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;
import org.fuchsiawharf.daemon.load.CallerRecord.Result;
import org.fuchsiawharf.standin.Ledger;

/**
 * The results of a load, computed only from callers' records and endpoints' ledgers.
 *
 * <p>Immutable and thread-safe.
 *
 * @param requests the number of requests sent
 * @param answered the number of requests with a complete response
 * @param attainment the share of requests with a complete response within their deadline
 * @param lost the number of requests without a response, with an incomplete one or with an error without an outcome
 * @param doubled the number of non-repeatable stages that ran more than once for one request
 * @param crossed the number of responses and stage inputs that belong to another request
 * @param falseNotRun the number of requests with outcome {@code not_run} of which a stage ran
 * @param cut the number of event streams that ended without their last event
 * @param lateShare the share of requests with a complete response after their deadline
 * @param outcomes the number of requests by result and code
 * @param costByStage the work done and needed by stage
 * @param costRatio the work done by all stages as a multiple of the work needed, in units summed over the stages
 * @param latency the latency quantiles of answered requests
 */
public record LoadSummary(
        int requests,
        int answered,
        double attainment,
        int lost,
        int doubled,
        int crossed,
        int falseNotRun,
        int cut,
        double lateShare,
        Map<String, Integer> outcomes,
        List<StageCost> costByStage,
        double costRatio,
        Latency latency) {
    private static final long MAX_LATENCY_MICROS = 600_000_000;
    private static final double MICROS_PER_MILLI = 1_000;
    private static final long NANOS_PER_MICRO = 1_000;

    /**
     * Latency quantiles, in milliseconds.
     *
     * @param p50 the median
     * @param p95 the 95th percentile
     * @param p99 the 99th percentile
     * @param max the maximum
     */
    public record Latency(double p50, double p95, double p99, double max) {}

    /**
     * Compares the results that callers observed with the runs that endpoints recorded.
     *
     * @param records the callers' records, not null
     * @param runs the runs in the ledger, not null; runs of other requests are ignored
     * @param nonRepeatableStages the names of the stages that must run at most once for a request, not null
     * @return the summary, never null
     */
    public static LoadSummary of(List<CallerRecord> records, List<Ledger.View> runs, Set<String> nonRepeatableStages) {
        Map<String, CallerRecord> recordsByNonce = new HashMap<>();
        records.forEach(record -> recordsByNonce.put(record.planned().nonce(), record));
        Set<String> executedNonces = new HashSet<>();
        Map<String, Integer> nonRepeatableRuns = new HashMap<>();
        int crossed = count(records, Result.CROSSED);
        for (Ledger.View run : runs) {
            if (!recordsByNonce.containsKey(run.nonce())) {
                continue;
            }
            executedNonces.add(run.nonce());
            crossed += run.crossed() ? 1 : 0;
            if (nonRepeatableStages.contains(run.stage())) {
                nonRepeatableRuns.merge(run.nonce() + "/" + run.stage(), 1, Integer::sum);
            }
        }
        int falseNotRun = (int) records.stream()
                .filter(record -> record.result() == Result.NOT_RUN)
                .filter(record -> executedNonces.contains(record.planned().nonce()))
                .count();
        int attained = (int) records.stream().filter(CallerRecord::isAttained).count();
        int late = (int) records.stream().filter(CallerRecord::isLate).count();
        List<StageCost> costs = costs(recordsByNonce, runs);
        double done = costs.stream().mapToDouble(StageCost::done).sum();
        double needed = costs.stream().mapToDouble(StageCost::needed).sum();
        int lost = count(records, Result.LOST) + count(records, Result.INCOMPLETE) + count(records, Result.REFUSED);
        return new LoadSummary(
                records.size(),
                count(records, Result.ANSWERED),
                share(attained, records.size()),
                lost,
                (int) nonRepeatableRuns.values().stream().filter(n -> n > 1).count(),
                crossed,
                falseNotRun,
                count(records, Result.CUT),
                share(late, records.size()),
                outcomes(records),
                costs,
                needed == 0 ? 0 : done / needed,
                latency(records));
    }

    /**
     * Checks whether the load showed no violation of the serving guarantees.
     *
     * @return true if nothing was lost, doubled, crossed, falsely reported as not run, or cut
     */
    public boolean isSafe() {
        return lost + doubled + crossed + falseNotRun + cut == 0;
    }

    private static int count(List<CallerRecord> records, Result result) {
        return (int)
                records.stream().filter(record -> record.result() == result).count();
    }

    private static double share(int count, int total) {
        return total == 0 ? 0 : (double) count / total;
    }

    private static Map<String, Integer> outcomes(List<CallerRecord> records) {
        Map<String, Integer> outcomes = new TreeMap<>();
        for (CallerRecord record : records) {
            String code = record.code().isEmpty() ? "" : " " + record.code();
            outcomes.merge(record.result().name().toLowerCase(java.util.Locale.ROOT) + code, 1, Integer::sum);
        }
        return outcomes;
    }

    private static List<StageCost> costs(Map<String, CallerRecord> recordsByNonce, List<Ledger.View> runs) {
        Map<String, Double> done = new TreeMap<>();
        Map<String, Double> needed = new TreeMap<>();
        Set<String> countedStages = new HashSet<>();
        for (Ledger.View run : runs) {
            CallerRecord record = recordsByNonce.get(run.nonce());
            if (record == null) {
                continue;
            }
            done.merge(run.stage(), run.units(), Double::sum);
            double units = 0;
            if (record.isAttained() && countedStages.add(run.nonce() + "/" + run.stage())) {
                units = neededUnits(run, record);
            }
            needed.merge(run.stage(), units, Double::sum);
        }
        List<StageCost> costs = new ArrayList<>();
        done.forEach((stage, units) -> costs.add(new StageCost(stage, units, needed.getOrDefault(stage, 0.0))));
        return costs;
    }

    private static double neededUnits(Ledger.View run, CallerRecord record) {
        return run.generates() ? record.planned().template().tokens() : 1;
    }

    private static Latency latency(List<CallerRecord> records) {
        Histogram histogram = new Histogram(MAX_LATENCY_MICROS, 3);
        for (CallerRecord record : records) {
            if (record.result() == Result.ANSWERED) {
                histogram.recordValue(Math.min(MAX_LATENCY_MICROS, record.latencyNanos() / NANOS_PER_MICRO));
            }
        }
        return new Latency(
                histogram.getValueAtPercentile(50) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(95) / MICROS_PER_MILLI,
                histogram.getValueAtPercentile(99) / MICROS_PER_MILLI,
                histogram.getMaxValue() / MICROS_PER_MILLI);
    }
}
