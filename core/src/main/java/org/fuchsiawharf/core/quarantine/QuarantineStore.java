package org.fuchsiawharf.core.quarantine;

/**
 * Keeps the quarantined suspects beyond the life of the instances.
 *
 * <p>The methods are called on the decision loop.
 */
public interface QuarantineStore {
    /** A store that keeps nothing. */
    QuarantineStore NONE = new QuarantineStore() {
        @Override
        public void put(Suspect suspect, int trials) {}

        @Override
        public void remove(Suspect suspect) {}
    };

    /**
     * Stores a quarantined suspect for ten minutes, or the number of its trials.
     *
     * @param suspect the suspect, not null
     * @param trials the number of trials that have begun
     */
    void put(Suspect suspect, int trials);

    /**
     * Removes a suspect that is no longer quarantined.
     *
     * @param suspect the suspect, not null
     */
    void remove(Suspect suspect);
}
