package org.fuchsiawharf.standin;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.jspecify.annotations.Nullable;

/**
 * Generates token streams with continuous batching.
 *
 * <p>Each step gives every sequence of the batch one token and takes longer the larger the batch is. A prefix that
 * the cache lacks delays the step in which its sequence joins. A sequence whose connection is gone stands still
 * and can be rejoined for a while. Thread-safe.
 */
final class EngineModel implements EndpointModel {
    private static final long REJOIN_NANOS = 2_000_000_000L;
    private static final int SUFFIX_MICROS = 1_000;

    private final String endpoint;
    private final ServiceProfile profile;
    private final Faults faults;
    private final Ledger ledger;
    private final ScheduledExecutorService scheduler;
    private final CacheListener cacheListener;
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(
            Comparator.comparing((Sequence s) -> s.task.priority()).thenComparingLong(s -> s.order));
    private final List<Sequence> batch = new ArrayList<>();
    private final Map<String, Sequence> byAttempt = new HashMap<>();
    private final LinkedHashMap<String, Boolean> cache;
    private long nextOrder;
    private boolean stepping;

    /** Hears of changes of the prefix cache. */
    interface CacheListener {
        /**
         * A prefix was added or removed.
         *
         * @param prefix the prefix's hash in hexadecimal, not null
         * @param present whether it was added
         */
        void onChange(String prefix, boolean present);
    }

    EngineModel(
            String endpoint,
            ServiceProfile profile,
            Faults faults,
            Ledger ledger,
            ScheduledExecutorService scheduler,
            CacheListener cacheListener) {
        this.endpoint = endpoint;
        this.profile = profile;
        this.faults = faults;
        this.ledger = ledger;
        this.scheduler = scheduler;
        this.cacheListener = cacheListener;
        this.cache = new LinkedHashMap<>(16, 0.75f, true);
    }

    @Override
    public synchronized void submit(StageTask task, CallSink sink) {
        Sequence known = byAttempt.get(task.attempt());
        if (task.reconnect()) {
            rejoin(known, task, sink);
            return;
        }
        if (faults.isLeaving() || known != null || waiting.size() >= profile.maxWaiting()) {
            sink.refuse(faults.isLeaving());
            return;
        }
        Sequence sequence = new Sequence(task, sink, nextOrder++);
        byAttempt.put(task.attempt(), sequence);
        waiting.add(sequence);
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    private void rejoin(@Nullable Sequence known, StageTask task, CallSink sink) {
        if (known == null) {
            sink.gone();
            return;
        }
        known.sink = sink;
        for (long index = task.offset(); index < known.next; index++) {
            sink.token(index);
        }
        if (known.isComplete()) {
            sink.finish(known.task.tokens());
        }
        if (!stepping) {
            stepping = true;
            step();
        }
    }

    @Override
    public synchronized void disconnected(StageTask task, CallSink sink) {
        Sequence known = byAttempt.get(task.attempt());
        if (known != null && known.sink == sink) {
            known.sink = null;
            known.leftNanos = System.nanoTime();
            if (waiting.remove(known)) {
                byAttempt.remove(task.attempt());
            }
        }
    }

    @Override
    public synchronized Load getLoad() {
        int running = 0;
        for (Sequence sequence : batch) {
            running += sequence.sink == null ? 0 : 1;
        }
        if (faults.isReportsIdle()) {
            return new Load(0, 0, profile.slots(), false);
        }
        return new Load(running, waiting.size(), profile.slots(), faults.isLeaving());
    }

    // -----------------------------------------------------------------------

    private synchronized void step() {
        dropAbandoned();
        double prefillMicros = admit();
        int active = countActive();
        if (active == 0) {
            stepping = false;
            return;
        }
        double micros =
                (profile.baseMicros() + active * profile.perCallMicros() + prefillMicros) * faults.getSlowFactor();
        scheduler.schedule(this::emit, (long) micros, TimeUnit.MICROSECONDS);
    }

    private synchronized void emit() {
        for (Sequence sequence : List.copyOf(batch)) {
            CallSink sink = sequence.sink;
            if (sink != null && !sequence.isComplete()) {
                emitToken(sequence, sink);
            }
        }
        step();
    }

    private void emitToken(Sequence sequence, CallSink sink) {
        sink.token(sequence.next);
        sequence.next++;
        if (sequence.run != null) {
            sequence.run.addUnits(1);
        }
        if (sequence.isComplete()) {
            if (sequence.run != null) {
                sequence.run.complete();
            }
            batch.remove(sequence);
            sequence.leftNanos = System.nanoTime();
            sink.finish(sequence.task.tokens());
        }
    }

    private double admit() {
        double micros = 0;
        while (countActive() < profile.slots() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove();
            sequence.run = ledger.begin(endpoint, profile, sequence.task);
            batch.add(sequence);
            micros += SUFFIX_MICROS + prefill(sequence.task.prefix());
        }
        return micros;
    }

    private double prefill(String prefix) {
        if (prefix.isEmpty()) {
            return profile.prefillMicros();
        }
        if (cache.get(prefix) != null) {
            return 0;
        }
        cache.put(prefix, true);
        cacheListener.onChange(prefix, true);
        if (cache.size() > profile.cacheEntries()) {
            String eldest = cache.keySet().iterator().next();
            cache.remove(eldest);
            cacheListener.onChange(eldest, false);
        }
        return profile.prefillMicros();
    }

    private int countActive() {
        int active = 0;
        for (Sequence sequence : batch) {
            active += sequence.sink == null ? 0 : 1;
        }
        return active;
    }

    private void dropAbandoned() {
        long now = System.nanoTime();
        byAttempt.values().removeIf(sequence -> {
            boolean detached = sequence.sink == null || sequence.isComplete();
            boolean expired = detached && now - sequence.leftNanos > REJOIN_NANOS;
            if (expired) {
                batch.remove(sequence);
            }
            return expired;
        });
    }

    private static final class Sequence {
        private final StageTask task;
        private final long order;
        private @Nullable CallSink sink;
        private Ledger.@Nullable Run run;
        private long next;
        private long leftNanos;

        private Sequence(StageTask task, CallSink sink, long order) {
            this.task = task;
            this.sink = sink;
            this.order = order;
            this.next = task.offset();
        }

        private boolean isComplete() {
            return next >= task.tokens();
        }
    }
}
