package org.fuchsiawharf.core.config;

import java.util.List;

/**
 * What an intent would change, to be confirmed by its id.
 *
 * <p>Immutable and thread-safe.
 *
 * @param id the plan's id, which follows from its content
 * @param who who stated the intent
 * @param at when, in milliseconds since 1970
 * @param source the address it came from
 * @param baseRevision the revision that it was compared with
 * @param intent the intent
 * @param differences what would change
 * @param effects what the change does at once, in words
 * @param warnings what the operator should know, in words
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
    /** Copies the lists. */
    public Plan {
        differences = List.copyOf(differences);
        effects = List.copyOf(effects);
        warnings = List.copyOf(warnings);
    }

    /**
     * Changes the id.
     *
     * @param changed the id, not null
     * @return a changed copy, never null
     */
    Plan withId(String changed) {
        return new Plan(changed, who, at, source, baseRevision, intent, differences, effects, warnings);
    }
}
