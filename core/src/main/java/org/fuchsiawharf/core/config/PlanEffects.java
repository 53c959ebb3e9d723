package org.fuchsiawharf.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.TreeSet;

import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.model.Workspace;

/**
 * Describes the effects and risks of a configuration change for the operator.
 *
 * <p>Stateless and thread-safe.
 */
final class PlanEffects {
    private PlanEffects() {}

    /**
     * Lists the immediate effects of a change.
     *
     * @param before the configuration before the change, not null
     * @param after the configuration after the change, not null
     * @return the descriptions of the effects, never null
     */
    static List<String> listEffects(ServingConfig before, ServingConfig after) {
        List<String> effects = new ArrayList<>();
        for (String name : new TreeSet<>(before.pipelines().keySet())) {
            if (after.getPipeline(name) == null) {
                effects.add("new requests for pipeline " + name + " are refused; running ones go on");
            }
        }
        for (String name : new TreeSet<>(before.workspaces().keySet())) {
            Workspace old = before.getWorkspace(name);
            Workspace changed = after.getWorkspace(name);
            if (changed == null) {
                effects.add("new requests of workspace " + name + " are refused; running ones go on");
            } else if (old != null && changed.maxConcurrent() < old.maxConcurrent()) {
                effects.add("the limit of workspace " + name + " binds at " + changed.maxConcurrent()
                        + " running requests on each instance; running ones go on");
            }
        }
        return effects;
    }

    /**
     * Lists the risks of a change for the operator to consider before the confirmation.
     *
     * @param before the configuration before the change, not null
     * @param after the configuration after the change, not null
     * @return the warnings, never null
     */
    static List<String> listWarnings(ServingConfig before, ServingConfig after) {
        List<String> warnings = new ArrayList<>();
        for (Pipeline pipeline : after.pipelines().values()) {
            Pipeline old = before.getPipeline(pipeline.name());
            if (old == null) {
                continue;
            }
            for (StageSpec stage : pipeline.stages()) {
                boolean wasNonRepeatable =
                        old.stages().stream().anyMatch(s -> s.name().equals(stage.name()) && !s.repeatable());
                if (wasNonRepeatable && stage.repeatable()) {
                    warnings.add("stage " + stage.name() + " of pipeline " + pipeline.name()
                            + " may be repeated from now on: a request may run it twice");
                }
            }
        }
        if (after.workspaces().isEmpty()) {
            warnings.add("no workspace is left: every request is refused");
        }
        return warnings;
    }
}
