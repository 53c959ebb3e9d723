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
 * Model of an inference engine that generates token streams with continuous batching.
 *
 * <p>Each step generates one token for every sequence of the batch; its duration grows with the batch size. A prompt
 * prefix that is not cached adds its prefill time to the step in which its sequence joins the batch. A running
 * sequence whose connection is closed is suspended and can be resumed within 2 seconds. Thread-safe.
 */
final class EngineModel implements EndpointModel {
    private static final long RESUME_WINDOW_NANOS = 2_000_000_000L;
    private static final int SUFFIX_PREFILL_MICROS = 1_000;

    private final String endpoint;
    private final ServiceProfile profile;
    private final Faults faults;
    private final Ledger ledger;
    private final ScheduledExecutorService scheduler;
    private final CacheListener cacheListener;
    private final PriorityQueue<Sequence> waiting = new PriorityQueue<>(
            Comparator.comparing((Sequence s) -> s.task.priority()).thenComparingLong(s -> s.arrival));
    private final List<Sequence> batch = new ArrayList<>();
    private final Map<String, Sequence> sequencesByAttempt = new HashMap<>();
    private final LinkedHashMap<String, Boolean> cache;
    private long nextArrival;
    private boolean stepScheduled;

    /** Listener for changes of the prefix cache. */
    interface CacheListener {
        /**
         * Called when a prefix is added or removed.
         *
         * @param prefix the hexadecimal hash of the prefix, not null
         * @param present true if the prefix was added, false if removed
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
        Sequence existing = sequencesByAttempt.get(task.attempt());
        if (task.reconnect()) {
            resume(existing, task, sink);
            return;
        }
        if (faults.isLeaving() || existing != null || waiting.size() >= profile.maxWaiting()) {
            sink.reject(faults.isLeaving());
            return;
        }
        Sequence sequence = new Sequence(task, sink, nextArrival++);
        sequencesByAttempt.put(task.attempt(), sequence);
        waiting.add(sequence);
        if (!stepScheduled) {
            stepScheduled = true;
            step();
        }
    }

    private void resume(@Nullable Sequence existing, StageTask task, CallSink sink) {
        if (existing == null) {
            sink.rejectUnknownRun();
            return;
        }
        existing.sink = sink;
        for (long index = task.offset(); index < existing.nextToken; index++) {
            sink.sendToken(index);
        }
        if (existing.isComplete()) {
            sink.complete(existing.task.tokens());
        }
        if (!stepScheduled) {
            stepScheduled = true;
            step();
        }
    }

    @Override
    public synchronized void onDisconnected(StageTask task, CallSink sink) {
        Sequence existing = sequencesByAttempt.get(task.attempt());
        if (existing != null && existing.sink == sink) {
            existing.sink = null;
            existing.inactiveSinceNanos = System.nanoTime();
            if (waiting.remove(existing)) {
                sequencesByAttempt.remove(task.attempt());
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
        evictExpired();
        double prefillMicros = admitWaiting();
        int active = countActive();
        if (active == 0) {
            stepScheduled = false;
            return;
        }
        double micros =
                (profile.baseMicros() + active * profile.perCallMicros() + prefillMicros) * faults.getSlowFactor();
        scheduler.schedule(this::emitTokens, (long) micros, TimeUnit.MICROSECONDS);
    }

    private synchronized void emitTokens() {
        for (Sequence sequence : List.copyOf(batch)) {
            CallSink sink = sequence.sink;
            if (sink != null && !sequence.isComplete()) {
                emitToken(sequence, sink);
            }
        }
        step();
    }

    private void emitToken(Sequence sequence, CallSink sink) {
        sink.sendToken(sequence.nextToken);
        sequence.nextToken++;
        if (sequence.run != null) {
            sequence.run.addUnits(1);
        }
        if (sequence.isComplete()) {
            if (sequence.run != null) {
                sequence.run.complete();
            }
            batch.remove(sequence);
            sequence.inactiveSinceNanos = System.nanoTime();
            sink.complete(sequence.task.tokens());
        }
    }

    private double admitWaiting() {
        double micros = 0;
        while (countActive() < profile.slots() && !waiting.isEmpty()) {
            Sequence sequence = waiting.remove();
            sequence.run = ledger.start(endpoint, profile, sequence.task);
            batch.add(sequence);
            micros += SUFFIX_PREFILL_MICROS + computePrefillMicros(sequence.task.prefix());
        }
        return micros;
    }

    private double computePrefillMicros(String prefix) {
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

    private void evictExpired() {
        long now = System.nanoTime();
        sequencesByAttempt.values().removeIf(sequence -> {
            boolean inactive = sequence.sink == null || sequence.isComplete();
            boolean expired = inactive && now - sequence.inactiveSinceNanos > RESUME_WINDOW_NANOS;
            if (expired) {
                batch.remove(sequence);
            }
            return expired;
        });
    }

    private static final class Sequence {
        private final StageTask task;
        private final long arrival;
        private @Nullable CallSink sink;
        private Ledger.@Nullable Run run;
        private long nextToken;
        private long inactiveSinceNanos;

        private Sequence(StageTask task, CallSink sink, long arrival) {
            this.task = task;
            this.sink = sink;
            this.arrival = arrival;
            this.nextToken = task.offset();
        }

        private boolean isComplete() {
            return nextToken >= task.tokens();
        }
    }
}
