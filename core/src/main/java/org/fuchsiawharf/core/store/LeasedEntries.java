package org.fuchsiawharf.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A local copy of store entries whose owners keep them alive by renewing a lease.
 *
 * <p>A removal reported by the store is applied at once. An entry that is missing after an outage of the store may
 * have expired only because its owner could not renew the lease. Such an entry is removed only if its owner does not
 * write the entry again within a grace period. Confined to the decision loop.
 *
 * @param <V> the type of an entry
 */
public final class LeasedEntries<V> {
    private final TimerService timers;
    private final long graceNanos;
    private final Runnable onChange;
    private final Map<String, V> entries = new TreeMap<>();
    private final Map<String, TimerService.Timer> removalTimers = new HashMap<>();

    /**
     * Creates a copy without entries.
     *
     * @param timers the timer service that ends grace periods, not null
     * @param graceNanos the time to keep an entry that is missing after an outage, in nanoseconds
     * @param onChange the callback to run after each change of the entries, not null
     */
    public LeasedEntries(TimerService timers, long graceNanos, Runnable onChange) {
        this.timers = timers;
        this.graceNanos = graceNanos;
        this.onChange = onChange;
    }

    /**
     * Gets the entries, including those in their grace period.
     *
     * @return an immutable copy of the entries by key, never null
     */
    public Map<String, V> getEntries() {
        return Map.copyOf(entries);
    }

    /**
     * Gets the entry of a key.
     *
     * @param key the key, not null
     * @return the entry, null if the key has none
     */
    public @Nullable V getEntry(String key) {
        return entries.get(key);
    }

    /**
     * Gets the number of entries that are missing from the store and in their grace period.
     *
     * @return the number of entries
     */
    public int getGracePeriodCount() {
        return removalTimers.size();
    }

    /**
     * Applies the write of an entry.
     *
     * @param key the key of the entry, not null
     * @param value the value of the entry, not null
     */
    public void put(String key, V value) {
        cancelRemoval(key);
        if (!value.equals(entries.put(key, value))) {
            onChange.run();
        }
    }

    /**
     * Applies the removal of an entry.
     *
     * @param key the key of the entry, not null
     */
    public void remove(String key) {
        cancelRemoval(key);
        if (entries.remove(key) != null) {
            onChange.run();
        }
    }

    /**
     * Starts the grace period of an entry that is missing after an outage of the store.
     *
     * @param key the key of the entry, not null
     */
    public void startGracePeriod(String key) {
        if (entries.containsKey(key)) {
            removalTimers.computeIfAbsent(key, k -> timers.schedule(timers.now() + graceNanos, () -> remove(k)));
        }
    }

    /**
     * Applies a complete listing of the store. Missing entries are removed, or get a grace period after an outage.
     *
     * @param listed every entry in the store, by key, not null
     * @param afterOutage whether the store was unreachable before the listing, so that live entries may be missing
     */
    public void replaceAll(Map<String, V> listed, boolean afterOutage) {
        boolean changed = false;
        for (Map.Entry<String, V> entry : listed.entrySet()) {
            cancelRemoval(entry.getKey());
            changed |= !entry.getValue().equals(entries.put(entry.getKey(), entry.getValue()));
        }
        for (String key : Map.copyOf(entries).keySet()) {
            if (!listed.containsKey(key)) {
                if (afterOutage) {
                    startGracePeriod(key);
                } else {
                    cancelRemoval(key);
                    entries.remove(key);
                    changed = true;
                }
            }
        }
        if (changed) {
            onChange.run();
        }
    }

    private void cancelRemoval(String key) {
        TimerService.Timer timer = removalTimers.remove(key);
        if (timer != null) {
            timer.cancel();
        }
    }
}
