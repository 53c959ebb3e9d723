package org.fuchsiawharf.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;

import io.undertow.util.StatusCodes;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.daemon.experiment.Deployment;
import org.fuchsiawharf.daemon.load.Balancer;
import org.fuchsiawharf.daemon.load.CallerRecord;
import org.fuchsiawharf.daemon.load.LoadRunner;
import org.fuchsiawharf.daemon.load.LoadSchedule;
import org.fuchsiawharf.daemon.load.LoadSummary;
import org.fuchsiawharf.daemon.settings.ConfigurationFile;
import org.fuchsiawharf.daemon.settings.WorkloadSettings;
import org.fuchsiawharf.http.JsonText;
import org.fuchsiawharf.http.client.BodyCollector.Response;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.standin.Ledger;

/**
 * Sends an open-loop load to running entry instances and checks the responses against the endpoints' ledger.
 *
 * <p>Stateless.
 */
public final class LoadCommand implements Command {
    private static final String RATE = "rate";
    private static final String SECONDS = "seconds";
    private static final String WARM_UP = "warm-up";
    private static final long MILLIS_PER_SECOND = 1_000;
    private static final int CALLER_THREADS = 2;

    @Override
    public String getName() {
        return "load";
    }

    @Override
    public String getSummary() {
        return "sends an open-loop load and compares callers' answers with the endpoints' ledger";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CommonOptions.SETTINGS, "settings of the workload").withRequiredArg();
        parser.accepts(RATE, "requests a second")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(20.0);
        parser.accepts(SECONDS, "length")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(10);
        parser.accepts(WARM_UP, "seconds before, left out of the figures")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(0);
        parser.accepts(CommonOptions.SEED, "seed of the schedule")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts(CommonOptions.JSON, "file for the summary as JSON").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        Path file = Path.of(CommonOptions.getRequired(options, CommonOptions.SETTINGS));
        WorkloadSettings settings = WorkloadSettings.read(file);
        Set<String> nonRepeatableStages =
                Deployment.nonRepeatableStagesOf(ConfigurationFile.read(file.resolveSibling("configuration.yaml")));
        double rate = (Double) options.valueOf(RATE);
        long warmUpMillis = (Integer) options.valueOf(WARM_UP) * MILLIS_PER_SECOND;
        long measuredMillis = (Integer) options.valueOf(SECONDS) * MILLIS_PER_SECOND;
        long seed = (Long) options.valueOf(CommonOptions.SEED);
        String noncePrefix = "load" + seed + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-";
        LoadSchedule schedule = LoadSchedule.of(
                settings.templates(),
                List.of(new LoadSchedule.Phase(rate, warmUpMillis + measuredMillis)),
                noncePrefix,
                seed);
        try (HttpClient client = new HttpClient("callers", CALLER_THREADS);
                Balancer balancer = new Balancer(client, settings.targets())) {
            LoadRunner runner = new LoadRunner(
                    client,
                    balancer,
                    (sent, ended, attained) ->
                            out.println("sent " + sent + ", ended " + ended + ", in time " + attained));
            List<CallerRecord> records = runner.run(schedule);
            List<Ledger.View> runs = readLedger(client, settings, noncePrefix);
            LoadSummary summary = LoadSummary.of(scheduledAtOrAfter(records, warmUpMillis), runs, nonRepeatableStages);
            LoadSummaryPrinter.print(summary, out);
            if (options.has(CommonOptions.JSON)) {
                writeSummary(Path.of((String) options.valueOf(CommonOptions.JSON)), summary);
            }
            return summary.isSafe() ? EXIT_SUCCESS : EXIT_FAILURE;
        }
    }

    private static List<CallerRecord> scheduledAtOrAfter(List<CallerRecord> records, long millis) {
        long nanos = millis * 1_000_000;
        return records.stream()
                .filter(record -> record.planned().atNanos() >= nanos)
                .toList();
    }

    private static List<Ledger.View> readLedger(HttpClient client, WorkloadSettings settings, String noncePrefix) {
        Response response = BlockingCalls.get(client, settings.ledger(), "/standin/ledger", Map.of());
        if (response.status() != StatusCodes.OK) {
            throw new WharfException(ErrorCode.INTERNAL, "reading the ledger failed with status " + response.status());
        }
        Ledger.Page page = JsonText.read(new String(response.body(), StandardCharsets.UTF_8), Ledger.Page.class);
        return page.runs().stream()
                .filter(run -> run.nonce().startsWith(noncePrefix))
                .toList();
    }

    private static void writeSummary(Path file, LoadSummary summary) {
        try {
            Files.writeString(file, JsonText.write(summary) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
