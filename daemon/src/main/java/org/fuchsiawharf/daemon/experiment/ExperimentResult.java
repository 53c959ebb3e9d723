package org.fuchsiawharf.daemon.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.daemon.load.CallerRecord;
import org.fuchsiawharf.daemon.load.LoadSummary;

/**
 * The result of one run of an experiment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param policies the policy set in use: {@code policy} for the regular one, {@code baseline} for the baseline
 * @param summary the summary of the run without its warm-up
 * @param judgedAttainment the share of requests answered within their deadline, among those that the acceptance bounds
 *     apply to (see {@link Scenario#isChecked} and {@link Scenario#getCheckedFromMillis})
 * @param goodputOfCapacity the rate of requests answered within their deadline during the burst, or during the whole
 *     run of a scenario without a burst, as a share of the capacity
 * @param wastedShare the share of all work that was not needed for requests answered within their deadline
 * @param recoveryMillis the time from the end of the burst until every request is answered within its deadline and with
 *     a latency of at most 1.25 times the 99th percentile before the burst, in milliseconds, 0 without a burst
 * @param figures the measurements taken by the scenario, by name
 * @param platformCalls the number of calls that the platform's key-value service received
 * @param counters the sums of the instances' counters, by name
 * @param seconds the figures of each second of the load
 * @param stages the service times of each stage, and the ratio of the work done to the work needed
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
     * The requests scheduled for one second of the load.
     *
     * @param offered the number of scheduled requests
     * @param attained the number of requests with a complete response within their deadline
     * @param refused the number of requests with outcome {@code not_run}
     * @param p95Millis the 95th percentile of the latency of answered requests, in milliseconds
     */
    public record Second(int offered, int attained, int refused, double p95Millis) {}

    /**
     * The service times of a stage, measured at its endpoints, and the ratio of the work done to the work needed.
     *
     * @param stage the name of the stage
     * @param p50Millis the median service time, in milliseconds
     * @param p99Millis the 99th percentile of the service time, in milliseconds
     * @param costRatio the work done as a multiple of the work needed
     */
    public record Stage(String stage, double p50Millis, double p99Millis, double costRatio) {}

    /**
     * Groups the records of a run by the second for which their requests were scheduled.
     *
     * @param records the callers' records, not null
     * @param seconds the number of seconds of the run
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
