package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiawharf.core.port.StatusSnapshot;

/**
 * Counts what the decisions did since the start.
 *
 * <p>Written by the decision loop, read by any thread; counts never fall. Thread-safe.
 */
public final class Counters {
    private final Map<Name, AtomicLong> values = new EnumMap<>(Name.class);

    /** Creates counters at 0. */
    public Counters() {
        for (Name name : Name.values()) {
            values.put(name, new AtomicLong());
        }
    }

    /** The counted things. */
    public enum Name {
        REQUESTS,
        ANSWERED,
        NOT_RUN,
        FAILED,
        UNKNOWN,
        CALLS,
        RETRIES,
        HEDGES,
        RECONNECTS,
        MIGRATIONS,
        CANCELS,
        EJECTIONS,
        STALE_ANSWERS_DROPPED,
        REPEATED_TOKENS_DROPPED,
        STREAM_GAPS,
        CACHE_GAPS,
        QUEUED,
        JOINED;

        /**
         * Gets the form for status and metrics, such as {@code not_run}.
         *
         * @return the lower-case name, never null
         */
        public String getWireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Adds one.
     *
     * @param name what to count, not null
     */
    void add(Name name) {
        AtomicLong value = values.get(name);
        if (value != null) {
            value.incrementAndGet();
        }
    }

    /**
     * Gets a count.
     *
     * @param name what was counted, not null
     * @return the count since the start
     */
    public long get(Name name) {
        AtomicLong value = values.get(name);
        return value == null ? 0 : value.get();
    }

    /**
     * Lists every count.
     *
     * @return the counts in the order of their names' declaration, never null
     */
    List<StatusSnapshot.Counter> toList() {
        List<StatusSnapshot.Counter> all = new ArrayList<>();
        values.forEach((name, value) -> all.add(new StatusSnapshot.Counter(name.getWireName(), value.get())));
        return all;
    }
}
