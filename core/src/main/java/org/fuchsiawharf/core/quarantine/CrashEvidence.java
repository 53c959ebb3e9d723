package org.fuchsiawharf.core.quarantine;

import java.util.List;
import java.util.Set;

/**
 * Observations about crashed endpoints that instances share with one another.
 *
 * <p>An endpoint is named together with its incarnation, see {@code EndpointState.getProcess}. Each observation can be
 * applied in any order and more than once. Immutable and thread-safe.
 *
 * @param endedEndpoints the endpoints that no longer accept connections, or whose address another one has
 * @param losses the suspects whose calls were lost
 * @param sound the suspects that were answered although they are among the losses of some instance
 * @param trials the trials of quarantined suspects
 */
public record CrashEvidence(Set<String> endedEndpoints, List<Loss> losses, Set<Suspect> sound, List<Trial> trials) {
    /**
     * The loss of a call before its response had clearly begun.
     *
     * @param suspect what the call has in common with others
     * @param endpoint the endpoint
     * @param prompt the hash of the last part of the prompt, which distinguishes requests from their repeats
     * @param ageMillis the time since the loss, in milliseconds
     */
    public record Loss(Suspect suspect, String endpoint, long prompt, long ageMillis) {}

    /**
     * A request that was sent although its suspect is quarantined.
     *
     * @param suspect the quarantined suspect
     * @param count the number of trials of the suspect including this one
     * @param ageMillis the time since the trial, in milliseconds
     */
    public record Trial(Suspect suspect, int count, long ageMillis) {}

    /** Makes the collections immutable. */
    public CrashEvidence {
        endedEndpoints = Set.copyOf(endedEndpoints);
        losses = List.copyOf(losses);
        sound = Set.copyOf(sound);
        trials = List.copyOf(trials);
    }

    /**
     * Checks whether there is nothing to share.
     *
     * @return true if there is no observation
     */
    public boolean isEmpty() {
        return endedEndpoints.isEmpty() && losses.isEmpty() && sound.isEmpty() && trials.isEmpty();
    }
}
