package org.fuchsiawharf.core.store;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.jspecify.annotations.Nullable;

/**
 * A copy of the items of the store, complete up to a position, with the latest changes.
 *
 * <p>Changes may be applied from several sources, which report them in different order and more than once: a change
 * that the copy contains is not applied again, and one that would leave a gap or belongs to another era of the store is
 * not applied. The revision decreases only with a listing of a later era or one that replaces a lost history. Confined
 * to the decision loop.
 */
public final class StoreCopy {
    /** Number of changes kept for instances that are behind; one further behind is sent the whole copy. */
    private static final int MAX_HISTORY = 512;

    private final Map<String, byte[]> values = new HashMap<>();
    private final Deque<StoreItem> history = new ArrayDeque<>();
    private long historyStart = -1;
    private StorePosition position = StorePosition.UNKNOWN;

    /** Creates an empty copy of an unknown position. */
    public StoreCopy() {}

    /**
     * Gets the position up to which the copy is complete.
     *
     * @return the position, never null
     */
    public StorePosition getPosition() {
        return position;
    }

    /**
     * Gets the values by key.
     *
     * @return an immutable copy of the map, never null; the arrays must not be modified
     */
    public Map<String, byte[]> getValues() {
        return Map.copyOf(values);
    }

    /**
     * Gets the latest change after a position of each item that changed.
     *
     * @param after the position, not null
     * @return the changes in the order of the store, null if they are not known
     */
    public @Nullable List<StoreItem> getChangesSince(StorePosition after) {
        if (historyStart < 0 || after.era() != position.era() || after.revision() < historyStart) {
            return null;
        }
        Map<String, StoreItem> latest = new LinkedHashMap<>();
        for (StoreItem item : history) {
            if (item.revision() > after.revision()) {
                latest.remove(item.key());
                latest.put(item.key(), item);
            }
        }
        return List.copyOf(latest.values());
    }

    /**
     * Replaces the copy with a complete listing.
     *
     * @param items every item, not null
     * @param asOf the position of the listing, not null
     * @param historyLost whether the listing replaces a later copy of its era too, since its history is lost
     * @return false if the copy is later than the listing and was kept
     */
    public boolean replace(Iterable<StoreItem> items, StorePosition asOf, boolean historyLost) {
        boolean isReplaceable = historyLost && asOf.era() == position.era();
        if (asOf.compareTo(position) < 0 && !isReplaceable) {
            return false;
        }
        Map<String, byte[]> replaced = new HashMap<>(values);
        boolean continuesHistory = historyStart >= 0 && asOf.era() == position.era() && asOf.compareTo(position) >= 0;
        values.clear();
        items.forEach(this::update);
        position = asOf;
        if (continuesHistory) {
            rememberDifferences(replaced);
        } else {
            history.clear();
            historyStart = asOf.revision();
        }
        return true;
    }

    // The revisions of the changes are not known; they are no later than that of the listing.
    private void rememberDifferences(Map<String, byte[]> replaced) {
        values.forEach((key, value) -> {
            if (!Arrays.equals(value, replaced.remove(key))) {
                remember(new StoreItem(key, position.revision(), value));
            }
        });
        replaced.keySet().forEach(key -> remember(new StoreItem(key, position.revision(), null)));
    }

    /**
     * Applies the changes between two revisions of one era.
     *
     * @param after the position after which the changes are complete, not null
     * @param asOf the revision up to which the changes are complete
     * @param items the changes in the order of the store, not null
     * @return the changes that the copy did not contain; null if changes before them are missing, or they belong to
     *     another era, and none was applied
     */
    public @Nullable List<StoreItem> apply(StorePosition after, long asOf, List<StoreItem> items) {
        if (after.era() != position.era() || after.revision() > position.revision()) {
            return null;
        }
        List<StoreItem> applied = new ArrayList<>();
        for (StoreItem item : items) {
            if (item.revision() > position.revision()) {
                update(item);
                remember(item);
                applied.add(item);
            }
        }
        position = position.withRevision(Math.max(position.revision(), asOf));
        return applied;
    }

    private void update(StoreItem item) {
        byte[] value = item.value();
        if (value == null) {
            values.remove(item.key());
        } else {
            values.put(item.key(), value);
        }
    }

    private void remember(StoreItem item) {
        history.add(item);
        if (history.size() > MAX_HISTORY) {
            historyStart = history.remove().revision();
        }
    }
}
