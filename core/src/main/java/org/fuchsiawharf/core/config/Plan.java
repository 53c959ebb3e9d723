package org.fuchsiawharf.core.config;

import java.util.List;

/**
 * A configuration change that an operator confirms by the id of the plan.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the id of the plan, derived from the hash of the content
 * @param who the operator that requested the change
 * @param at the time of creation, in milliseconds since 1970-01-01T00:00Z
 * @param source the address that the request came from
 * @param baseRevision the configuration revision that the plan is based on
 * @param intent the requested change
 * @param differences the changes of the items
 * @param effects the descriptions of the immediate effects
 * @param warnings the risks for the operator to consider before the confirmation
 */
public record Plan(
        String id,
        String who,
        long at,
        String source,
        long baseRevision,
        Intent intent,
        List<Difference> differences,
        List<String> effects,
        List<String> warnings) {
    /** Makes the lists immutable. */
    public Plan {
        differences = List.copyOf(differences);
        effects = List.copyOf(effects);
        warnings = List.copyOf(warnings);
    }

    /**
     * Returns a copy of this plan with another id.
     *
     * @param newId the id of the copy, not null
     * @return the copy, never null
     */
    Plan withId(String newId) {
        return new Plan(newId, who, at, source, baseRevision, intent, differences, effects, warnings);
    }
}
