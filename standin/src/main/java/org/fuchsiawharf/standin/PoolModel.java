package org.fuchsiawharf.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.SplittableRandom;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/**
 * Model of a service that runs a bounded number of concurrent calls, each for a fixed time with random jitter.
 *
 * <p>Thread-safe.
 */
final class PoolModel implements EndpointModel {
    private static final double MIN_JITTER_FACTOR = 0.8;
    private static final double MAX_JITTER_FACTOR = 1.2;

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
            sink.reject(faults.isLeaving());
            return;
        }
        waiting.add(new Call(task, sink));
        startWaiting();
    }

    @Override
    public synchronized void onDisconnected(StageTask task, CallSink sink) {
        waiting.removeIf(call -> call.sink() == sink);
    }

    @Override
    public synchronized Load getLoad() {
        return new Load(running, waiting.size(), profile.slots(), faults.isLeaving());
    }

    private void startWaiting() {
        while (running < profile.slots() && !waiting.isEmpty()) {
            Call call = waiting.remove();
            running++;
            Ledger.Run run = ledger.start(endpoint, profile, call.task());
            run.addUnits(1);
            double micros = profile.baseMicros()
                    * faults.getSlowFactor()
                    * random.nextDouble(MIN_JITTER_FACTOR, MAX_JITTER_FACTOR);
            if (micros < 1) {
                completeCall(call, run);
            } else {
                scheduler.schedule(() -> completeCall(call, run), (long) micros, TimeUnit.MICROSECONDS);
            }
        }
    }

    private synchronized void completeCall(Call call, Ledger.Run run) {
        running--;
        run.complete();
        call.sink().complete(0);
        startWaiting();
    }
}
