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
 * One firm's configuration, stand-ins and requests.
 *
 * <p>Immutable and thread-safe.
 *
 * @param name the firm's short name
 * @param objective what it weighs more heavily
 * @param config its configuration
 * @param standins its endpoints
 * @param templates its requests
 */
public record Deployment(
        String name,
        Objective objective,
        ServingConfig config,
        StandinSettings standins,
        List<RequestTemplate> templates) {
    /** Copies the list. */
    public Deployment {
        templates = List.copyOf(templates);
    }

    /**
     * Reads a firm's example files.
     *
     * @param examples the folder of examples, not null
     * @param name the firm's folder, not null
     * @param objective what it weighs more heavily, not null
     * @return the deployment with free ports, never null
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
     * Gets the names of the stages that may run only once for each request.
     *
     * @return the names, never null
     */
    public Set<String> getUnsafeStages() {
        return unsafeStagesOf(config);
    }

    /**
     * Gets the names of a configuration's stages that may run only once for each request.
     *
     * @param config the configuration, not null
     * @return the names, never null
     */
    public static Set<String> unsafeStagesOf(ServingConfig config) {
        Set<Pipeline> all = new HashSet<>(config.pipelines().values());
        all.addAll(config.services().values());
        return all.stream()
                .flatMap(pipeline -> pipeline.stages().stream())
                .filter(stage -> !stage.repeatable())
                .map(StageSpec::name)
                .collect(Collectors.toSet());
    }

    /**
     * Gets the requests a second that the engines can serve at most, with every prefix cached.
     *
     * @return requests a second of the mix
     */
    public double getCapacity() {
        double tokens = 0;
        double shares = 0;
        for (RequestTemplate template : templates) {
            tokens += template.share() * template.tokens();
            shares += template.share();
        }
        double perSecond = 0;
        for (ServiceProfile profile : standins.profiles()) {
            if (profile.kind() == ServiceProfile.Kind.ENGINE) {
                perSecond += profile.getCapacity(1);
            }
        }
        return perSecond / (tokens / shares);
    }
}
