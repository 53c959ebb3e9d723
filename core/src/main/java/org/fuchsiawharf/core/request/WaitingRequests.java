package org.fuchsiawharf.core.request;

import java.util.function.Predicate;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.limits.AdmissionPolicy;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Lets requests wait for endpoints, sends them on in turn, and refuses those that wait in vain.
 *
 * <p>A request that waits is in exactly one queue and marked so. Confined to the decision loop.
 */
final class WaitingRequests {
    private static final double CONTINUE_DEVIATIONS = 0;

    private final AdmissionPolicy admission;
    private final Predicate<ActiveRequest> dispatch;
    private final StageRunner.RequestEnd end;
    private final TimerService timers;
    private final StageEstimates estimates;
    private final StageQueues queues;
    private final Counters counters;

    /**
     * Creates the keeper of empty queues.
     *
     * @param state the instance's state, not null
     * @param admission decides what is still worth serving, not null
     * @param dispatch sends a request's present stage, false if no endpoint has room, not null
     * @param end ends requests, not null
     */
    WaitingRequests(
            DecisionState state,
            AdmissionPolicy admission,
            Predicate<ActiveRequest> dispatch,
            StageRunner.RequestEnd end) {
        this.admission = admission;
        this.dispatch = dispatch;
        this.end = end;
        this.timers = state.timers();
        this.estimates = state.estimates();
        this.queues = state.queues();
        this.counters = state.counters();
    }

    /**
     * Sends queued requests of a service for as long as its endpoints have room.
     *
     * @param service the service's name, not null
     */
    void pump(String service) {
        StageQueues.Waiting waiting = queues.get(service);
        while (waiting.queue().size() > 0) {
            ActiveRequest next = waiting.queue().poll();
            if (next == null) {
                return;
            }
            next.queued = false;
            if (!isWorthContinuing(next)) {
                end.refuse(next, ErrorCode.OVERLOADED, "waited too long for service " + service);
            } else if (dispatch.test(next)) {
                waiting.rate().onDeparture(timers.now(), waiting.queue().size() > 0);
            } else {
                requeue(next, waiting);
                return;
            }
        }
    }

    /**
     * Refuses requests that would not be served in time now, not at their deadline.
     *
     * @param service the service's name, not null
     */
    void refuseOverdue(String service) {
        for (ActiveRequest active : queues.get(service).queue().toList()) {
            double waited = timers.now() - active.queuedNanos;
            if (waited > admission.getMaxQueueNanos() || !isWorthContinuing(active)) {
                end.refuse(active, ErrorCode.OVERLOADED, "waited too long for service " + service);
            }
        }
    }

    /**
     * Tells whether enough time is left for the rest of a request.
     *
     * @param active the request, not null
     * @return true if it should go on
     */
    boolean isWorthContinuing(ActiveRequest active) {
        long now = timers.now();
        double work = estimates.getWork(active.pipeline(), active.stage, CONTINUE_DEVIATIONS, now);
        if (active.tokens > 0) {
            // A stream that goes on elsewhere needs only the rest of its time.
            work = 0;
        }
        return admission.isWorthContinuing(active.remainingNanos(now), work);
    }

    /**
     * Lets a request wait for an endpoint of its present stage, or refuses it if too many wait.
     *
     * @param active the request, not null
     */
    void enqueue(ActiveRequest active) {
        StageQueues.Waiting waiting = queues.get(active.stageSpec().service());
        counters.add(Counters.Name.QUEUED);
        active.queuedNanos = timers.now();
        requeue(active, waiting);
    }

    private void requeue(ActiveRequest active, StageQueues.Waiting waiting) {
        active.queued = waiting.queue()
                .offer(
                        active,
                        active.request.workspace(),
                        active.request.priority(),
                        active.request.deadlineNanos(),
                        active.queuedNanos);
        if (!active.queued) {
            String service = active.stageSpec().service();
            end.refuse(active, ErrorCode.OVERLOADED, "the queue of service " + service + " is full");
        }
    }
}
