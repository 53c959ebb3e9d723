package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Releases results at their producers, many in one call.
 *
 * <p>The space of a result counts as free once its producer has confirmed the release.
 *
 * <p>Confined to the decision loop.
 */
final class ResultReleases {
    /** Time for which releases are collected before one call to each producer; short compared to a stage call. */
    private static final long BATCHING_DELAY_NANOS = 25_000_000L;

    private final String service;
    private final EndpointTable table;
    private final PieceCalls calls;
    private final TimerService timers;
    private final Meters meters;
    private final ResultSpace space;
    private final Runnable onReleased;
    private final Map<String, List<String>> handlesByProducer = new HashMap<>();
    private boolean scheduled;

    ResultReleases(String service, PoolContext context, ResultSpace space, Runnable onReleased) {
        this.service = service;
        this.table = context.table();
        this.calls = context.calls();
        this.timers = context.timers();
        this.meters = context.meters();
        this.space = space;
        this.onReleased = onReleased;
    }

    /** Releases results; handles without a known producer are ignored and expire at their endpoint. */
    void add(List<String> handles) {
        for (String handle : handles) {
            String producer = space.getProducer(handle);
            if (producer != null) {
                handlesByProducer
                        .computeIfAbsent(producer, p -> new ArrayList<>())
                        .add(handle);
            }
        }
        if (!handlesByProducer.isEmpty()) {
            scheduleSend();
        }
    }

    private void scheduleSend() {
        if (!scheduled) {
            scheduled = true;
            timers.schedule(timers.now() + BATCHING_DELAY_NANOS, this::send);
        }
    }

    private void send() {
        scheduled = false;
        Map<String, List<String>> batches = new HashMap<>(handlesByProducer);
        handlesByProducer.clear();
        batches.forEach(this::sendTo);
    }

    private void sendTo(String producer, List<String> handles) {
        EndpointState state = table.getEndpoint(producer);
        // The results of an endpoint that leaves expire with it.
        if (state == null || state.isLeaving()) {
            return;
        }
        long sentNanos = timers.now();
        if (!state.getRequestLimit().maySend(sentNanos)) {
            handlesByProducer.computeIfAbsent(producer, p -> new ArrayList<>()).addAll(handles);
            scheduleSend();
            return;
        }
        state.getRequestLimit().onSent(sentNanos);
        calls.release(state.getEndpoint(), handles, () -> {
            meters.time("results_freed_seconds", service, timers.now() - sentNanos);
            handles.forEach(space::free);
            onReleased.run();
        });
    }
}
