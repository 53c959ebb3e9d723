package org.fuchsiawharf.core.quarantine;

import java.util.List;
import java.util.function.Predicate;

/**
 * Keeps the quarantined suspects in the store, for fleets whose instances all restart at once.
 *
 * <p>The instance that sends the trials of a suspect stores it. Confined to the decision loop.
 */
public final class QuarantineKeeper {
    private final CrashQuarantine quarantine;
    private final Predicate<String> isTrialInstance;
    private QuarantineStore store = QuarantineStore.NONE;

    /**
     * Creates a keeper without a store.
     *
     * @param quarantine the quarantine of this instance, not null
     * @param isTrialInstance whether this instance is the one that sends the trials of the suspect of an id, not null
     */
    public QuarantineKeeper(CrashQuarantine quarantine, Predicate<String> isTrialInstance) {
        this.quarantine = quarantine;
        this.isTrialInstance = isTrialInstance;
        quarantine.setChangeListener(this::onChanged);
    }

    /**
     * Sets the store.
     *
     * @param newStore keeps the suspects, not null
     */
    public void setStore(QuarantineStore newStore) {
        store = newStore;
    }

    /**
     * Quarantines a suspect that the store has kept.
     *
     * @param suspect the suspect, not null
     * @param trials the number of trials that have begun
     */
    public void onStored(Suspect suspect, int trials) {
        quarantine.restore(suspect, trials);
    }

    private void onChanged(Suspect suspect) {
        if (!isTrialInstance.test(suspect.id())) {
            return;
        }
        if (quarantine.getQuarantined(List.of(suspect)) == null) {
            store.remove(suspect);
        } else {
            store.put(suspect, quarantine.getTrials(suspect));
        }
    }
}
