package org.fuchsiawharf.core.request;

import java.util.LinkedHashMap;
import java.util.Map;

import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.RequestResult;
import org.jspecify.annotations.Nullable;

/**
 * Remembers requests by workspace and idempotency key on this instance.
 *
 * <p>A key stays while its request runs, and for the retention time after it was answered or its outcome became
 * unknown; a request that did not run or failed safely frees its key. When full, ended requests are forgotten
 * oldest first; a running one never is. Confined to the decision loop.
 */
final class IdempotencyTable {
    static final int CAPACITY = 20_000;
    static final long RETENTION_NANOS = 600_000_000_000L;

    private final Map<Key, Entry> entries = new LinkedHashMap<>();

    /**
     * Finds what is known of a request's key.
     *
     * @param request the request, not null
     * @param nowNanos the time
     * @return the entry, null if the key is new or empty
     */
    @Nullable
    Entry find(CallerRequest request, long nowNanos) {
        dropExpired(nowNanos);
        return request.idempotencyKey().isEmpty() ? null : entries.get(Key.of(request));
    }

    /**
     * Remembers a request that starts.
     *
     * @param active the request, not null
     */
    void onStarted(ActiveRequest active) {
        if (!active.request.idempotencyKey().isEmpty()) {
            entries.put(Key.of(active.request), new Entry(active));
        }
    }

    /**
     * Remembers or forgets a request that ended.
     *
     * @param active the request, not null
     * @param result its outcome, not null
     * @param nowNanos the time
     */
    void onEnded(ActiveRequest active, RequestResult result, long nowNanos) {
        if (active.request.idempotencyKey().isEmpty()) {
            return;
        }
        Key key = Key.of(active.request);
        Entry entry = entries.remove(key);
        boolean keeps = result.outcome() == Outcome.ANSWERED || result.outcome() == Outcome.UNKNOWN;
        if (entry != null && keeps) {
            entry.result = result;
            entry.endedNanos = nowNanos;
            entries.put(key, entry);
        }
    }

    private void dropExpired(long nowNanos) {
        var iterator = entries.values().iterator();
        while (iterator.hasNext()) {
            Entry entry = iterator.next();
            boolean expired = nowNanos - entry.endedNanos > RETENTION_NANOS;
            boolean tooMany = entries.size() > CAPACITY;
            if (entry.result == null) {
                // A running request stays; those ended after it wait for their turn.
                if (!tooMany) {
                    return;
                }
                continue;
            }
            if (!expired && !tooMany) {
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

    /** What is known of one key. */
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
