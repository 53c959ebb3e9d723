package org.fuchsiawharf.core.store;

/**
 * A position in the history of the store.
 *
 * <p>The era rises each time the store returns from an older copy. The revisions after the copy are then given out again,
 * so that only positions of one era are compared by their revision. Immutable and thread-safe.
 *
 * @param era the era of the store, 0 if the store has stated none
 * @param revision the revision within the era, -1 if nothing is known
 */
public record StorePosition(long era, long revision) implements Comparable<StorePosition> {
    /** The position of an instance that knows nothing of the store. */
    public static final StorePosition UNKNOWN = new StorePosition(0, -1);

    /**
     * Returns the position of another revision in the same era.
     *
     * @param newRevision the revision
     * @return the position, never null
     */
    public StorePosition withRevision(long newRevision) {
        return new StorePosition(era, newRevision);
    }

    /**
     * Checks whether the store returned from an older copy between a position and this one.
     *
     * @param known the earlier position, not null
     * @return true if the earlier position is known and belongs to an earlier era
     */
    public boolean isRestoredSince(StorePosition known) {
        return known.revision >= 0 && era > known.era;
    }

    @Override
    public int compareTo(StorePosition other) {
        int order = Long.compare(era, other.era);
        return order != 0 ? order : Long.compare(revision, other.revision);
    }
}
