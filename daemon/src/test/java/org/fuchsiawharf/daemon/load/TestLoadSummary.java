package org.fuchsiawharf.daemon.load;

import java.util.List;
import java.util.Set;

import org.fuchsiawharf.daemon.load.CallerRecord.Result;
import org.fuchsiawharf.standin.Ledger;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/** Tests that the summary, which decides whether an experiment passes, detects each kind of violation. */
class TestLoadSummary {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final RequestTemplate TEMPLATE =
            new RequestTemplate("/p", List.of("w"), 1, 1_000, 10, false, false, 0);

    private static CallerRecord record(String nonce, Result result, long millis) {
        return new CallerRecord(
                new LoadSchedule.Planned(0, TEMPLATE, "w", nonce, ""), result, "", millis * NANOS_PER_MILLI);
    }

    private static Ledger.View run(String nonce, String stage, boolean crossed, double units) {
        return new Ledger.View("e", "s", stage, "i.1.0.1", nonce, crossed, true, units, 1);
    }

    private static LoadSummary summarize(List<CallerRecord> records, Ledger.View... runs) {
        return LoadSummary.of(records, List.of(runs), Set.of("verdict"));
    }

    @Test
    void countsResponseWithinDeadlineAsAttained() {
        LoadSummary summary = summarize(List.of(record("a", Result.ANSWERED, 999)), run("a", "verdict", false, 10));
        assertThat(summary.attainment(), is(1.0));
        assertThat(summary.costRatio(), is(1.0));
        assertThat(summary.isSafe(), is(true));
    }

    @Test
    void countsResponseAfterDeadlineAsLate() {
        assertThat(summarize(List.of(record("a", Result.ANSWERED, 1_001))).lateShare(), is(1.0));
    }

    @Test
    void detectsRepeatedRunOfNonRepeatableStage() {
        LoadSummary summary = summarize(
                List.of(record("a", Result.ANSWERED, 1)),
                run("a", "verdict", false, 10),
                run("a", "verdict", false, 1));
        assertThat(summary.doubled(), is(1));
    }

    @Test
    void detectsRunOfRequestReportedAsNotRun() {
        assertThat(
                summarize(List.of(record("a", Result.NOT_RUN, 1)), run("a", "x", false, 0))
                        .falseNotRun(),
                is(1));
    }

    @Test
    void detectsMismatchedResponsesAndInputs() {
        assertThat(
                summarize(List.of(record("a", Result.CROSSED, 1)), run("a", "x", true, 1))
                        .crossed(),
                is(2));
    }

    @Test
    void detectsLostRequestsAndCutStreams() {
        LoadSummary summary = summarize(List.of(record("a", Result.LOST, 1), record("b", Result.CUT, 1)));
        assertThat(summary.lost(), is(1));
        assertThat(summary.cut(), is(1));
        assertThat(summary.isSafe(), is(false));
    }

    @Test
    void countsWorkOfFailedRequestsInCostRatio() {
        LoadSummary summary = summarize(
                List.of(record("a", Result.ANSWERED, 1), record("b", Result.FAILED, 1)),
                run("a", "generate", false, 10),
                run("b", "generate", false, 10));
        assertThat(summary.costRatio(), is(2.0));
    }
}
