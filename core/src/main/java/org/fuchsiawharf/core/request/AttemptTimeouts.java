package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.retry.TimeoutPolicy;
import org.fuchsiawharf.core.routing.LatencyEstimate;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Cancels attempts that make no progress within their timeout.
 *
 * <p>Attempts of non-repeatable stages are bounded only by the deadline of the request. Confined to the decision loop.
 */
final class AttemptTimeouts {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimeoutPolicy policy;
    private final EndpointPort port;
    private final OnTimeout onTimeout;
    private final TimerService timers;
    private final StageEstimates estimates;
    private final Counters counters;

    /** Handles the timeout of an attempt. */
    @FunctionalInterface
    interface OnTimeout {
        /**
         * Fails an attempt.
         *
         * @param active the request, not null
         * @param attempt the attempt, not null
         * @param failure the reason, not null
         * @param detail a description of the failure, not null
         */
        void fail(ActiveRequest active, Attempt attempt, CallFailure failure, String detail);
    }

    /**
     * Creates the timeouts of an instance.
     *
     * @param state the state of the instance, not null
     * @param policy the policy that sets the timeouts, not null
     * @param port the port that cancels calls, not null
     * @param onTimeout the handler of timed-out attempts, not null
     */
    AttemptTimeouts(DecisionState state, TimeoutPolicy policy, EndpointPort port, OnTimeout onTimeout) {
        this.policy = policy;
        this.port = port;
        this.onTimeout = onTimeout;
        this.timers = state.timers();
        this.estimates = state.estimates();
        this.counters = state.counters();
    }

    /**
     * Schedules the timeout of an attempt if its stage is repeatable.
     *
     * @param active the request, not null
     * @param attempt the attempt that has just been sent, not null
     */
    void schedule(ActiveRequest active, Attempt attempt) {
        if (!attempt.stage.repeatable()) {
            return;
        }
        long timeout = policy.getResponseTimeout(responseEstimate(active), active.remainingNanos(timers.now()));
        if (timeout != TimeoutPolicy.NO_TIMEOUT) {
            attempt.timer = timers.schedule(timers.now() + timeout, () -> checkProgress(active, attempt));
        }
    }

    private LatencyEstimate responseEstimate(ActiveRequest active) {
        return estimates.get(active.pipeline(), active.stage);
    }

    private void checkProgress(ActiveRequest active, Attempt attempt) {
        if (active.done || !active.openAttempts.contains(attempt)) {
            return;
        }
        long silentNanos = timers.now() - attempt.lastProgressNanos;
        long allowedNanos = attempt.tokenReceived
                ? policy.getTokenTimeout(attempt.state.getTokenInterval())
                : timers.now() - attempt.sentNanos;
        if (silentNanos >= allowedNanos) {
            port.cancel(attempt.id, attempt.state.getEndpoint());
            counters.add(Counters.Name.CANCELS);
            onTimeout.fail(
                    active, attempt, CallFailure.TIMEOUT, "no answer within " + silentNanos / NANOS_PER_MILLI + " ms");
        } else {
            long due = attempt.lastProgressNanos + allowedNanos;
            attempt.timer = timers.schedule(due, () -> checkProgress(active, attempt));
        }
    }
}
