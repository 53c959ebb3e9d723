package org.fuchsiawharf.daemon.cli;

import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;

import joptsimple.OptionParser;
import joptsimple.OptionSet;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.model.Workspace;
import org.fuchsiawharf.daemon.experiment.Deployment;
import org.fuchsiawharf.daemon.experiment.EmbeddedCluster;
import org.fuchsiawharf.daemon.load.OverheadMeasurement;
import org.fuchsiawharf.daemon.settings.StandinSettings;
import org.fuchsiawharf.http.client.HttpTarget;
import org.fuchsiawharf.standin.ServiceProfile;

/**
 * Measures the latency that an entry instance adds to a pipeline of four stages whose endpoints
 * have no processing time.
 *
 * <p>Stateless.
 */
public final class OverheadCommand implements Command {
    private static final List<String> STAGES = List.of("encode", "retrieve", "rerank", "generate");
    private static final String RATE = "rate";
    private static final String SECONDS = "seconds";

    @Override
    public String getName() {
        return "overhead";
    }

    @Override
    public String getSummary() {
        return "measures the latency that one instance adds to four stages called directly";
    }

    @Override
    public void declareOptions(OptionParser parser) {
        parser.accepts(RATE, "requests a second")
                .withRequiredArg()
                .ofType(Double.class)
                .defaultsTo(200.0);
        parser.accepts(SECONDS, "length")
                .withRequiredArg()
                .ofType(Integer.class)
                .defaultsTo(15);
    }

    @Override
    public int run(OptionSet options, PrintStream out) {
        try (EmbeddedCluster cluster = new EmbeddedCluster(createDeployment(), 1, false, 1)) {
            List<Endpoint> endpoints = new ArrayList<>();
            for (String stage : STAGES) {
                endpoints.add(cluster.getFleet().getEndpoint(stage + "-1").getEndpoint());
            }
            HttpTarget entry =
                    new HttpTarget("127.0.0.1", cluster.getInstances().get(0).getPort());
            OverheadMeasurement measurement = new OverheadMeasurement(
                    cluster.getCallerClient(), entry, "/v1/pipelines/chain/requests", endpoints);
            double rate = (Double) options.valueOf(RATE);
            measurement.run(rate, (Integer) options.valueOf(SECONDS));
            OverheadMeasurement.Result result = measurement.run(rate, (Integer) options.valueOf(SECONDS));
            print("through the instance", result.viaInstance(), out);
            print("directly", result.direct(), out);
            out.printf(
                    Locale.ROOT,
                    "added: p50 %d us, p99 %d us%n",
                    result.viaInstance().p50() - result.direct().p50(),
                    result.viaInstance().p99() - result.direct().p99());
        }
        return EXIT_SUCCESS;
    }

    private static void print(String name, OverheadMeasurement.Quantiles quantiles, PrintStream out) {
        out.printf(
                Locale.ROOT,
                "%s: %d requests, p50 %d us, p99 %d us%n",
                name,
                quantiles.count(),
                quantiles.p50(),
                quantiles.p99());
    }

    private static Deployment createDeployment() {
        List<StageSpec> stages = STAGES.stream()
                .map(stage -> new StageSpec(stage, stage, true, false))
                .toList();
        ServingConfig config = new ServingConfig(
                1,
                Map.of("chain", new Pipeline("chain", stages)),
                Map.of(),
                Map.of("probe", new Workspace("probe", 1, 10_000, Priority.NORMAL)));
        List<ServiceProfile> profiles = STAGES.stream()
                .map(stage -> new ServiceProfile(stage, ServiceProfile.Kind.POOL, 1, 1_000, 1_000, 0, 0, 0, 0))
                .toList();
        return new Deployment(
                "overhead",
                Objective.ATTAINMENT,
                config,
                new StandinSettings(List.of("zone"), 0, 0, 1, profiles),
                List.of());
    }
}
