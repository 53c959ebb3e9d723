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
 * Sends an open-loop load to running entry instances and compares callers' answers with the endpoints' ledger.
 *
 * <p>Holds no state.
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
    public void declare(OptionParser parser) {
        parser.accepts(OptionNames.SETTINGS, "settings of the workload").withRequiredArg();
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
        parser.accepts(OptionNames.SEED, "seed of the schedule")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts(OptionNames.JSON, "file for the summary as JSON").withRequiredArg();
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        Path file = Path.of(OptionNames.required(options, OptionNames.SETTINGS));
        WorkloadSettings settings = WorkloadSettings.read(file);
        Set<String> unsafe =
                Deployment.unsafeStagesOf(ConfigurationFile.read(file.resolveSibling("configuration.yaml")));
        double rate = (Double) options.valueOf(RATE);
        long warmUpMillis = (Integer) options.valueOf(WARM_UP) * MILLIS_PER_SECOND;
        long millis = (Integer) options.valueOf(SECONDS) * MILLIS_PER_SECOND;
        long seed = (Long) options.valueOf(OptionNames.SEED);
        String mark = "load" + seed + "-" + Long.toString(System.currentTimeMillis(), Character.MAX_RADIX) + "-";
        LoadSchedule schedule = LoadSchedule.of(
                settings.templates(), List.of(new LoadSchedule.Phase(rate, warmUpMillis + millis)), mark, seed);
        try (HttpClient client = new HttpClient("callers", CALLER_THREADS);
                Balancer balancer = new Balancer(client, settings.targets())) {
            LoadRunner runner = new LoadRunner(
                    client,
                    balancer,
                    (sent, ended, attained) ->
                            out.println("sent " + sent + ", ended " + ended + ", in time " + attained));
            List<CallerRecord> records = runner.run(schedule);
            List<Ledger.View> runs = readLedger(client, settings, mark);
            LoadSummary summary = LoadSummary.of(after(records, warmUpMillis), runs, unsafe);
            SummaryText.print(summary, out);
            if (options.has(OptionNames.JSON)) {
                write(Path.of((String) options.valueOf(OptionNames.JSON)), summary);
            }
            return summary.isSafe() ? OK : FAILED;
        }
    }

    private static List<CallerRecord> after(List<CallerRecord> records, long millis) {
        long nanos = millis * 1_000_000;
        return records.stream()
                .filter(record -> record.planned().atNanos() >= nanos)
                .toList();
    }

    private static List<Ledger.View> readLedger(HttpClient client, WorkloadSettings settings, String mark) {
        Response response = RemoteCalls.get(client, settings.ledger(), "/standin/ledger", Map.of());
        if (response.status() != StatusCodes.OK) {
            throw new WharfException(ErrorCode.INTERNAL, "the ledger answers status " + response.status());
        }
        Ledger.Page page = JsonText.read(new String(response.body(), StandardCharsets.UTF_8), Ledger.Page.class);
        return page.runs().stream().filter(run -> run.nonce().startsWith(mark)).toList();
    }

    private static void write(Path file, LoadSummary summary) {
        try {
            Files.writeString(file, JsonText.write(summary) + "\n");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }
}
