package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.List;
import java.util.Locale;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.daemon.experiment.Deployment;
import org.fuchsiawharf.daemon.experiment.EmbeddedCluster;
import org.fuchsiawharf.daemon.load.CallerRecord;
import org.fuchsiawharf.daemon.load.LoadRunner;
import org.fuchsiawharf.daemon.load.LoadSchedule;
import org.fuchsiawharf.daemon.load.LoadSummary;

/**
 * Runs both example deployments and their stand-in endpoints in one process.
 *
 * <p>Stateless.
 */
public final class DemoCommand implements Command {
    private static final double REQUESTS_PER_SECOND = 12;
    private static final long DURATION_MILLIS = 8_000;
    private static final int INSTANCES_PER_ZONE = 1;
    private static final long SEED = 1;

    @Override
    public String getName() {
        return "demo";
    }

    @Override
    public String getSummary() {
        return "serves both example deployments with embedded stand-ins and checks every promise";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CommonOptions.EXAMPLES, "folder of the examples").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        Path directory = CommonOptions.getExamplesDirectory(options);
        boolean aprendiaPassed = runDeployment(Deployment.read(directory, "aprendia", Objective.ATTAINMENT), out);
        boolean ndiayePassed = runDeployment(Deployment.read(directory, "ndiaye", Objective.COST), out);
        return aprendiaPassed && ndiayePassed ? EXIT_SUCCESS : EXIT_FAILURE;
    }

    private static boolean runDeployment(Deployment deployment, PrintStream out) {
        out.println("== " + deployment.name() + ", objective "
                + deployment.objective().getWireName());
        try (EmbeddedCluster cluster = new EmbeddedCluster(deployment, INSTANCES_PER_ZONE, false, SEED)) {
            LoadSchedule schedule = LoadSchedule.of(
                    deployment.templates(),
                    List.of(new LoadSchedule.Phase(REQUESTS_PER_SECOND, DURATION_MILLIS)),
                    deployment.name() + "-",
                    SEED);
            LoadRunner runner = new LoadRunner(
                    cluster.getCallerClient(),
                    cluster.getBalancer(),
                    (sent, ended, attained) ->
                            out.println("sent " + sent + ", ended " + ended + ", in time " + attained));
            List<CallerRecord> records = runner.run(schedule);
            records.forEach(record -> out.println(describe(record)));
            LoadSummary summary = LoadSummary.of(
                    records, cluster.getFleet().getLedger().toPage().runs(), deployment.getNonRepeatableStages());
            LoadSummaryPrinter.print(summary, out);
            return summary.isSafe() && summary.attainment() > 0;
        }
    }

    private static String describe(CallerRecord record) {
        return String.format(
                Locale.ROOT,
                "  %-14s %-40s %-20s %-8s %7.1f ms %s",
                record.planned().nonce(),
                record.planned().template().path(),
                record.planned().workspace(),
                record.result().name().toLowerCase(Locale.ROOT),
                record.latencyNanos() / 1e6,
                record.code());
    }
}
