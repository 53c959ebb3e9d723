package org.fuchsiawharf.core.store;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeMap;

import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Entries that live in the store for as long as their owner renews them.
 *
 * <p>A removal that the store tells is believed at once. Entries that are missing when the store answers again after
 * it was away may have lapsed only because their owners could not renew them: they stay for a while, in which a
 * live owner writes its entry again, and only then count as gone. Confined to the decision loop.
 *
 * @param <V> the type of an entry
 */
public final class LeasedEntries<V> {
    private final TimerService timers;
    private final long graceNanos;
    private final Runnable onChange;
    private final Map<String, V> entries = new TreeMap<>();
    private final Map<String, TimerService.Timer> missing = new HashMap<>();

    /**
     * Creates an empty set.
     *
     * @param timers the timer service, not null
     * @param graceNanos how long an entry stays that is missing after an outage, in nanoseconds
     * @param onChange called after each change, not null
     */
    public LeasedEntries(TimerService timers, long graceNanos, Runnable onChange) {
        this.timers = timers;
        this.graceNanos = graceNanos;
        this.onChange = onChange;
    }

    /**
     * Gets the entries.
     *
     * @return a copy by key, never null
     */
    public Map<String, V> getEntries() {
        return Map.copyOf(entries);
    }

    /**
     * Gets one entry.
     *
     * @param key its key, not null
     * @return the entry, null if there is none
     */
    public @Nullable V getEntry(String key) {
        return entries.get(key);
    }

    /**
     * Counts the entries that are missing but stay for now.
     *
     * @return the count
     */
    public int getMissing() {
        return missing.size();
    }

    /**
     * Takes in an entry that was written.
     *
     * @param key its key, not null
     * @param value its value, not null
     */
    public void put(String key, V value) {
        found(key);
        if (!value.equals(entries.put(key, value))) {
            onChange.run();
        }
    }

    /**
     * Takes in that an entry was removed.
     *
     * @param key its key, not null
     */
    public void remove(String key) {
        found(key);
        if (entries.remove(key) != null) {
            onChange.run();
        }
    }

    /**
     * Takes in that an entry is missing after the store was away.
     *
     * @param key its key, not null
     */
    public void lapse(String key) {
        if (entries.containsKey(key)) {
            missing.computeIfAbsent(key, k -> timers.schedule(timers.now() + graceNanos, () -> remove(k)));
        }
    }

    /**
     * Takes in the whole list.
     *
     * @param listed every entry that the store holds, not null
     * @param afterOutage whether the store was away before, so that live entries may be missing
     */
    public void replaceAll(Map<String, V> listed, boolean afterOutage) {
        boolean changed = false;
        for (Map.Entry<String, V> entry : listed.entrySet()) {
            found(entry.getKey());
            changed |= !entry.getValue().equals(entries.put(entry.getKey(), entry.getValue()));
        }
        for (String key : Map.copyOf(entries).keySet()) {
            if (!listed.containsKey(key)) {
                if (afterOutage) {
                    lapse(key);
                } else {
                    found(key);
                    entries.remove(key);
                    changed = true;
                }
            }
        }
        if (changed) {
            onChange.run();
        }
    }

    private void found(String key) {
        TimerService.Timer timer = missing.remove(key);
        if (timer != null) {
            timer.cancel();
        }
    }
}
