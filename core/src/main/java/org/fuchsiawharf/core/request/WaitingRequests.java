package org.fuchsiawharf.core.request;

import java.util.function.Predicate;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.limits.AdmissionPolicy;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Queues requests until an endpoint is available, dispatches them in queue order and rejects overdue ones.
 *
 * <p>A waiting request is in exactly one queue and marked as queued. Confined to the decision loop.
 */
final class WaitingRequests {
    private static final double CONTINUE_DEVIATIONS = 0;

    private final AdmissionPolicy admission;
    private final Predicate<ActiveRequest> dispatch;
    private final StageRunner.RequestCompletion completion;
    private final TimerService timers;
    private final StageEstimates estimates;
    private final StageQueues queues;
    private final Counters counters;

    /**
     * Creates the waiting requests of an instance.
     *
     * @param state the state of the instance, not null
     * @param admission the policy that decides whether to continue a request, not null
     * @param dispatch sends the current stage of a request, returns false if no endpoint is available, not null
     * @param completion the handler that ends rejected requests, not null
     */
    WaitingRequests(
            DecisionState state,
            AdmissionPolicy admission,
            Predicate<ActiveRequest> dispatch,
            StageRunner.RequestCompletion completion) {
        this.admission = admission;
        this.dispatch = dispatch;
        this.completion = completion;
        this.timers = state.timers();
        this.estimates = state.estimates();
        this.queues = state.queues();
        this.counters = state.counters();
    }

    /**
     * Dispatches queued requests of a service while an endpoint is available.
     *
     * @param service the name of the service, not null
     */
    void dispatchQueued(String service) {
        StageQueues.ServiceQueue serviceQueue = queues.get(service);
        while (serviceQueue.queue().size() > 0) {
            ActiveRequest next = serviceQueue.queue().poll();
            if (next == null) {
                return;
            }
            next.queued = false;
            if (!isWorthContinuing(next)) {
                completion.abort(next, ErrorCode.OVERLOADED, "waited too long for service " + service);
            } else if (dispatch.test(next)) {
                serviceQueue
                        .waitEstimator()
                        .onDeparture(timers.now(), serviceQueue.queue().size() > 0);
            } else {
                requeue(next, serviceQueue);
                return;
            }
        }
    }

    /**
     * Rejects queued requests that can no longer be served in time, without waiting for their deadlines.
     *
     * @param service the name of the service, not null
     */
    void rejectOverdue(String service) {
        for (ActiveRequest active : queues.get(service).queue().toList()) {
            double waited = timers.now() - active.queuedNanos;
            if (waited > admission.getMaxQueueTimeNanos() || !isWorthContinuing(active)) {
                completion.abort(active, ErrorCode.OVERLOADED, "waited too long for service " + service);
            }
        }
    }

    /**
     * Checks whether enough time is left for the remaining stages of a request.
     *
     * @param active the request, not null
     * @return true if the request should continue
     */
    boolean isWorthContinuing(ActiveRequest active) {
        long now = timers.now();
        double work = estimates.getWorkNanos(active.pipeline(), active.stage, CONTINUE_DEVIATIONS, now);
        if (active.tokenCount > 0) {
            // A continued stream needs less time than the estimate of the whole stage.
            work = 0;
        }
        return admission.isWorthContinuing(active.remainingNanos(now), work);
    }

    /**
     * Queues a request for its current stage, or rejects the request if the queue is full.
     *
     * @param active the request, not null
     */
    void enqueue(ActiveRequest active) {
        StageQueues.ServiceQueue serviceQueue = queues.get(active.stageSpec().service());
        counters.add(Counters.Name.QUEUED);
        active.queuedNanos = timers.now();
        requeue(active, serviceQueue);
    }

    private void requeue(ActiveRequest active, StageQueues.ServiceQueue serviceQueue) {
        active.queued = serviceQueue
                .queue()
                .offer(
                        active,
                        active.request.workspace(),
                        active.request.priority(),
                        active.request.deadlineNanos(),
                        active.queuedNanos);
        if (!active.queued) {
            String service = active.stageSpec().service();
            completion.abort(active, ErrorCode.OVERLOADED, "the queue of service " + service + " is full");
        }
    }
}
