package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.util.Locale;

import org.fuchsiawharf.daemon.load.LoadSummary;
import org.fuchsiawharf.daemon.load.StageCost;

/**
 * Prints the summary of a load in human-readable form.
 *
 * <p>Stateless and thread-safe.
 */
final class LoadSummaryPrinter {
    private LoadSummaryPrinter() {}

    static void print(LoadSummary summary, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "requests %d, answered %d, attainment %.4f, late share %.4f%n",
                summary.requests(),
                summary.answered(),
                summary.attainment(),
                summary.lateShare());
        out.println("outcomes " + summary.outcomes());
        out.printf(
                Locale.ROOT,
                "latency ms: p50 %.1f, p95 %.1f, p99 %.1f, max %.1f%n",
                summary.latency().p50(),
                summary.latency().p95(),
                summary.latency().p99(),
                summary.latency().max());
        for (StageCost cost : summary.costByStage()) {
            out.printf(
                    Locale.ROOT,
                    "cost of stage %-10s done %.0f, needed %.0f, ratio %.3f%n",
                    cost.stage(),
                    cost.done(),
                    cost.needed(),
                    cost.getRatio());
        }
        out.printf(
                Locale.ROOT,
                "lost %d, doubled %d, crossed %d, false not-run %d, cut %d%n",
                summary.lost(),
                summary.doubled(),
                summary.crossed(),
                summary.falseNotRun(),
                summary.cut());
    }
}
