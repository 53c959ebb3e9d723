package org.fuchsiawharf.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.RequestResult;
import org.jspecify.annotations.Nullable;

/**
 * Stores this instance's requests by workspace, pipeline and idempotency key.
 *
 * <p>An entry is kept while its request runs, and for the retention time after the outcome {@code ANSWERED} or
 * {@code UNKNOWN}. The outcomes {@code NOT_RUN} and {@code FAILED} remove the entry, since repeating such a request is
 * safe. A full table evicts the oldest ended requests and never a running one. Confined to the decision loop.
 */
final class IdempotencyTable {
    static final int CAPACITY = 20_000;
    static final long RETENTION_NANOS = 600_000_000_000L;

    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    /**
     * Finds the entry for the key of a request.
     *
     * @param request the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the entry, null if the key is new or empty
     */
    @Nullable
    Entry find(CallerRequest request, long nowNanos) {
        removeExpired(nowNanos);
        return request.idempotencyKey().isEmpty() ? null : entries.get(Key.of(request));
    }

    /**
     * Adds an entry for a request that starts, unless its key is empty.
     *
     * @param active the request, not null
     */
    void onStarted(ActiveRequest active) {
        if (!active.request.idempotencyKey().isEmpty()) {
            entries.put(Key.of(active.request), new Entry(active));
        }
    }

    /**
     * Stores the result of an ended request or removes its entry, depending on the outcome.
     *
     * @param active the request, not null
     * @param result the result of the request, not null
     * @param nowNanos the current time, in nanoseconds
     */
    void onEnded(ActiveRequest active, RequestResult result, long nowNanos) {
        if (active.request.idempotencyKey().isEmpty()) {
            return;
        }
        Key key = Key.of(active.request);
        Entry entry = entries.remove(key);
        boolean retained = result.outcome() == Outcome.ANSWERED || result.outcome() == Outcome.UNKNOWN;
        if (entry != null && retained) {
            entry.result = result;
            entry.endedNanos = nowNanos;
            entries.put(key, entry);
        }
    }

    private void removeExpired(long nowNanos) {
        var iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            boolean expired = nowNanos - entry.endedNanos > RETENTION_NANOS;
            boolean overCapacity = entries.size() > CAPACITY;
            if (entry.result == null) {
                // Running requests are kept. Below capacity, the scan ends here and later entries expire afterwards.
                if (!overCapacity) {
                    return;
                }
                continue;
            }
            if (!expired && !overCapacity) {
                return;
            }
            iterator.remove();
        }
    }

    private record Key(String workspace, String pipeline, String key) {
        static Key of(CallerRequest request) {
            return new Key(request.workspace().name(), request.pipeline().name(), request.idempotencyKey());
        }
    }

    /** The entry of one idempotency key. */
    static final class Entry {
        final ActiveRequest active;
        private @Nullable RequestResult result;
        private long endedNanos;

        private Entry(ActiveRequest active) {
            this.active = active;
        }

        boolean hasBody(Payload body) {
            return active.request.body().equals(body);
        }

        @Nullable
        RequestResult getResult() {
            return result;
        }
    }
}
