package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLong;

import org.fuchsiawharf.core.port.StatusSnapshot;

/**
 * The counters of an instance since its start.
 *
 * <p>Incremented by the decision loop and read by any thread. Counters never decrease. Thread-safe.
 */
public final class Counters {
    private final Map<Name, AtomicLong> values = new EnumMap<>(Name.class);

    /** Creates counters with the value 0. */
    public Counters() {
        for (Name name : Name.values()) {
            values.put(name, new AtomicLong());
        }
    }

    /** The names of the counters. */
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
         * Gets the name used in status and metrics, such as {@code not_run}.
         *
         * @return the name in lower case, never null
         */
        public String getWireName() {
            return name().toLowerCase(Locale.ROOT);
        }
    }

    /**
     * Increments a counter.
     *
     * @param name the name of the counter, not null
     */
    void add(Name name) {
        AtomicLong value = values.get(name);
        if (value != null) {
            value.incrementAndGet();
        }
    }

    /**
     * Gets the value of a counter.
     *
     * @param name the name of the counter, not null
     * @return the count since the start
     */
    public long get(Name name) {
        AtomicLong value = values.get(name);
        return value == null ? 0 : value.get();
    }

    /**
     * Gets the values of all counters.
     *
     * @return the counters in the order in which their names are declared, never null
     */
    List<StatusSnapshot.Counter> toList() {
        List<StatusSnapshot.Counter> all = new ArrayList<>();
        values.forEach((name, value) -> all.add(new StatusSnapshot.Counter(name.getWireName(), value.get())));
        return all;
    }
}
