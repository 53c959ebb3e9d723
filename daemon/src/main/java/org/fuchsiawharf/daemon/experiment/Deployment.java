package org.fuchsiawharf.daemon.experiment;

import java.nio.file.Path;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.daemon.load.RequestTemplate;
import org.fuchsiawharf.daemon.settings.ConfigurationFile;
import org.fuchsiawharf.daemon.settings.StandinSettings;
import org.fuchsiawharf.daemon.settings.WorkloadSettings;
import org.fuchsiawharf.standin.ServiceProfile;

/**
 * The configuration, stand-in endpoints and request templates of one example deployment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the short name of the deployment
 * @param objective the objective that the policies optimize
 * @param config the serving configuration
 * @param standins the settings of the stand-in endpoints
 * @param templates the templates of the requests
 */
public record Deployment(
        String name,
        Objective objective,
        ServingConfig config,
        StandinSettings standins,
        List<RequestTemplate> templates) {
    /** Creates a deployment with a copy of the list. */
    public Deployment {
        templates = List.copyOf(templates);
    }

    /**
     * Reads the files of an example deployment.
     *
     * @param examples the folder of the examples, not null
     * @param name the name of the deployment's folder, not null
     * @param objective the objective that the policies optimize, not null
     * @return the deployment, with free ports for the stand-ins, never null
     * @throws org.fuchsiawharf.core.error.WharfException if a file has errors
     */
    public static Deployment read(Path examples, String name, Objective objective) {
        Path folder = examples.resolve(name);
        return new Deployment(
                name,
                objective,
                ConfigurationFile.read(folder.resolve("configuration.yaml")),
                StandinSettings.read(folder.resolve("standin.yaml")).withFreePorts(),
                WorkloadSettings.read(folder.resolve("workload.yaml")).templates());
    }

    /**
     * Gets the names of the non-repeatable stages, which must run at most once for a request.
     *
     * @return the names, never null
     */
    public Set<String> getNonRepeatableStages() {
        return nonRepeatableStagesOf(config);
    }

    /**
     * Gets the names of the non-repeatable stages of a configuration, which must run at most once for a request.
     *
     * @param config the configuration, not null
     * @return the names, never null
     */
    public static Set<String> nonRepeatableStagesOf(ServingConfig config) {
        Set<Pipeline> pipelines = new HashSet<>(config.pipelines().values());
        pipelines.addAll(config.services().values());
        return pipelines.stream()
                .flatMap(pipeline -> pipeline.stages().stream())
                .filter(stage -> !stage.repeatable())
                .map(StageSpec::name)
                .collect(Collectors.toSet());
    }

    /**
     * Gets the greatest request rate that the engines can serve, with every prefix cached.
     *
     * @return the rate for the mix of requests that the templates define, in requests per second
     */
    public double getCapacity() {
        double weightedTokens = 0;
        double totalShare = 0;
        for (RequestTemplate template : templates) {
            weightedTokens += template.share() * template.tokens();
            totalShare += template.share();
        }
        double tokensPerSecond = 0;
        for (ServiceProfile profile : standins.profiles()) {
            if (profile.kind() == ServiceProfile.Kind.ENGINE) {
                tokensPerSecond += profile.getCapacity(1);
            }
        }
        return tokensPerSecond / (weightedTokens / totalShare);
    }
}
