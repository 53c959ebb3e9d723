package org.fuchsiawharf.daemon.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.error.ArgumentException;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.daemon.experiment.Deployment;
import org.fuchsiawharf.daemon.experiment.Experiment;
import org.fuchsiawharf.daemon.experiment.ExperimentResult;
import org.fuchsiawharf.daemon.experiment.HtmlReport;
import org.fuchsiawharf.daemon.experiment.Scenario;
import org.fuchsiawharf.http.JsonText;

/**
 * Runs an experiment with the policies under test and with the baseline policies on the same request schedule.
 *
 * <p>Stateless.
 */
public final class ExperimentCommand implements Command {
    private static final String HTML = "html";
    private static final String FIRM = "firm";
    private static final String OBJECTIVE = "objective";
    private static final String ONLY = "only";

    @Override
    public String getName() {
        return "experiment";
    }

    @Override
    public String getSummary() {
        return "runs policies and baseline side by side under a fault: " + Scenario.listNames();
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(CommonOptions.SEED, "seed of all random choices")
                .withRequiredArg()
                .ofType(Long.class)
                .defaultsTo(1L);
        parser.accepts(CommonOptions.JSON, "file for the summary as JSON").withRequiredArg();
        parser.accepts(HTML, "file for the report as HTML").withRequiredArg();
        parser.accepts(FIRM, "example deployment").withRequiredArg().defaultsTo("aprendia");
        parser.accepts(OBJECTIVE, "attainment or cost; by default what the firm weighs more")
                .withRequiredArg();
        parser.accepts(ONLY, "run just one: policy or baseline").withRequiredArg();
        parser.accepts(CommonOptions.EXAMPLES, "folder of the examples").withRequiredArg();
        parser.nonOptions("experiment: " + Scenario.listNames()).ofType(String.class);
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        if (options.nonOptionArguments().size() != 1) {
            throw new ArgumentException("experiment", "absent", "one of " + Scenario.listNames());
        }
        Scenario scenario = Scenario.parse(options.nonOptionArguments().get(0).toString());
        String deploymentName = (String) options.valueOf(FIRM);
        Objective objective = options.has(OBJECTIVE)
                ? Objective.parse((String) options.valueOf(OBJECTIVE))
                : deploymentName.equals("ndiaye") ? Objective.COST : Objective.ATTAINMENT;
        Deployment deployment = Deployment.read(CommonOptions.getExamplesDirectory(options), deploymentName, objective);
        long seed = (Long) options.valueOf(CommonOptions.SEED);
        List<ExperimentResult> results = new ArrayList<>();
        for (boolean baseline : new boolean[] {false, true}) {
            String policies = baseline ? "baseline" : "policy";
            if (!options.has(ONLY) || options.valueOf(ONLY).equals(policies)) {
                out.println("== " + scenario.getWireName() + ", " + deploymentName + ", " + policies);
                ExperimentResult result = new Experiment(deployment, scenario, seed)
                        .run(
                                baseline,
                                (sent, ended, attained) ->
                                        out.println("sent " + sent + ", ended " + ended + ", in time " + attained));
                print(result, out);
                results.add(result);
            }
        }
        writeIfRequested(options, CommonOptions.JSON, JsonText.write(results) + "\n");
        writeIfRequested(
                options,
                HTML,
                HtmlReport.of(scenario.getWireName() + ", " + deploymentName + ", seed " + seed, results));
        return results.stream()
                        .filter(result -> result.policies().equals("policy"))
                        .allMatch(result -> result.summary().isSafe())
                ? EXIT_SUCCESS
                : EXIT_FAILURE;
    }

    private static void print(ExperimentResult result, PrintStream out) {
        LoadSummaryPrinter.print(result.summary(), out);
        out.printf(
                Locale.ROOT,
                "judged attainment %.4f, goodput of capacity %.4f, wasted share %.4f, recovery %d ms%n",
                result.judgedAttainment(),
                result.goodputOfCapacity(),
                result.wastedShare(),
                result.recoveryMillis());
        out.println("figures " + result.figures() + ", calls to the key-value service " + result.platformCalls());
        out.println("counted " + result.counters());
    }

    private static void writeIfRequested(OptionSet options, String option, String text) {
        if (options.has(option)) {
            try {
                Files.writeString(Path.of((String) options.valueOf(option)), text);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }
    }
}
