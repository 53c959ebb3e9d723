package org.fuchsiawharf.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Runs each call for a fixed time with a little jitter, a bounded number at once.
 *
 * <p>Thread-safe.
 */
final class PoolModel implements EndpointModel {
    private static final double MIN_JITTER = 0.8;
    private static final double MAX_JITTER = 1.2;

    private final String endpoint;
    private final ServiceProfile profile;
    private final Faults faults;
    private final Ledger ledger;
    private final ScheduledExecutorService scheduler;
    private final SplittableRandom random;
    private final Deque<Call> waiting = new ArrayDeque<>();
    private int running;

    PoolModel(
            String endpoint,
            ServiceProfile profile,
            Faults faults,
            Ledger ledger,
            ScheduledExecutorService scheduler,
            long seed) {
        this.endpoint = endpoint;
        this.profile = profile;
        this.faults = faults;
        this.ledger = ledger;
        this.scheduler = scheduler;
        this.random = new SplittableRandom(seed);
    }

    private record Call(StageTask task, CallSink sink) {}

    @Override
    public synchronized void submit(StageTask task, CallSink sink) {
        if (faults.isLeaving() || waiting.size() >= profile.maxWaiting()) {
            sink.refuse(faults.isLeaving());
            return;
        }
        waiting.add(new Call(task, sink));
        runWaiting();
    }

    @Override
    public synchronized void disconnected(StageTask task, CallSink sink) {
        waiting.removeIf(call -> call.sink() == sink);
    }

    @Override
    public synchronized Load getLoad() {
        return new Load(running, waiting.size(), profile.slots(), faults.isLeaving());
    }

    private void runWaiting() {
        while (running < profile.slots() && !waiting.isEmpty()) {
            Call call = waiting.remove();
            running++;
            Ledger.Run run = ledger.begin(endpoint, profile, call.task());
            run.addUnits(1);
            double micros = profile.baseMicros() * faults.getSlowFactor() * random.nextDouble(MIN_JITTER, MAX_JITTER);
            if (micros < 1) {
                end(call, run);
            } else {
                scheduler.schedule(() -> end(call, run), (long) micros, TimeUnit.MICROSECONDS);
            }
        }
    }

    private synchronized void end(Call call, Ledger.Run run) {
        running--;
        run.complete();
        call.sink().finish(0);
        runWaiting();
    }
}
