package org.fuchsiawharf.daemon.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.daemon.load.CallerRecord;
import org.fuchsiawharf.daemon.load.LoadSummary;

/**
 * What one run of an experiment showed.
 *
 * <p>Immutable and thread-safe.
 *
 * @param policies {@code policy} or {@code baseline}
 * @param summary the whole run, warm-up left out
 * @param judgedAttainment attainment of the requests planned from the time on from which bounds apply
 * @param goodputOfCapacity requests attained during the burst, or the whole run, as a share of the capacity
 * @param wastedShare the share of all work that no attained request used
 * @param recoveryMillis from the burst's end until every request is attained at normal latency, 0 without a burst
 * @param figures figures of the fault itself
 * @param platformCalls calls that the platform's key-value service received
 * @param counters what the instances counted
 * @param seconds one entry for each second
 * @param stages service time and cost of each stage
 */
public record ExperimentResult(
        String policies,
        LoadSummary summary,
        double judgedAttainment,
        double goodputOfCapacity,
        double wastedShare,
        long recoveryMillis,
        Map<String, Double> figures,
        long platformCalls,
        Map<String, Long> counters,
        List<Second> seconds,
        List<Stage> stages) {
    private static final long NANOS_PER_SECOND = 1_000_000_000;

    /**
     * One second of the load, by when requests were planned.
     *
     * @param offered requests planned in it
     * @param attained those answered whole and in time
     * @param refused those refused as not run
     * @param p95Millis the 95th percentile of answered requests' latency, in milliseconds
     */
    public record Second(int offered, int attained, int refused, double p95Millis) {}

    /**
     * One stage at its endpoints.
     *
     * @param stage the stage's name
     * @param p50Millis the median time of a run, in milliseconds
     * @param p99Millis the 99th percentile, in milliseconds
     * @param costRatio work done as a multiple of the work needed
     */
    public record Stage(String stage, double p50Millis, double p99Millis, double costRatio) {}

    /**
     * Cuts a run into seconds.
     *
     * @param records the callers' records, not null
     * @param seconds the number of seconds
     * @return one entry for each second, never null
     */
    static List<Second> toSeconds(List<CallerRecord> records, int seconds) {
        List<List<CallerRecord>> bySecond = new ArrayList<>();
        for (int i = 0; i < seconds; i++) {
            bySecond.add(new ArrayList<>());
        }
        for (CallerRecord record : records) {
            int second = (int) (record.planned().atNanos() / NANOS_PER_SECOND);
            bySecond.get(Math.min(seconds - 1, second)).add(record);
        }
        return bySecond.stream().map(ExperimentResult::toSecond).toList();
    }

    private static Second toSecond(List<CallerRecord> records) {
        int attained = (int) records.stream().filter(CallerRecord::isAttained).count();
        int refused = (int) records.stream()
                .filter(record -> record.result() == CallerRecord.Result.NOT_RUN)
                .count();
        double[] latencies = records.stream()
                .filter(record -> record.result() == CallerRecord.Result.ANSWERED)
                .mapToDouble(record -> record.latencyNanos() / 1e6)
                .sorted()
                .toArray();
        double p95 = latencies.length == 0 ? 0 : latencies[(int) ((latencies.length - 1) * 0.95)];
        return new Second(records.size(), attained, refused, p95);
    }
}
