package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.retry.TimeoutPolicy;
import org.fuchsiawharf.core.routing.LatencyEstimate;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Ends attempts that stay silent for too long.
 *
 * <p>Non-repeatable stages are left to the request's deadline. Confined to the decision loop.
 */
final class AttemptTimeouts {
    private static final long NANOS_PER_MILLI = 1_000_000;

    private final TimeoutPolicy policy;
    private final EndpointPort port;
    private final OnTimeout onTimeout;
    private final TimerService timers;
    private final StageEstimates estimates;
    private final Counters counters;

    /** Takes in the failure of an attempt. */
    @FunctionalInterface
    interface OnTimeout {
        /**
         * Fails an attempt.
         *
         * @param active the request, not null
         * @param attempt the attempt, not null
         * @param failure why, not null
         * @param detail what was seen, not null
         */
        void fail(ActiveRequest active, Attempt attempt, CallFailure failure, String detail);
    }

    /**
     * Creates the bounds of an instance.
     *
     * @param state the instance's state, not null
     * @param policy decides how long is too long, not null
     * @param port cancels calls, not null
     * @param onTimeout hears of each ended attempt, not null
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
     * Bounds the silence of an attempt, if its stage is repeatable.
     *
     * @param active the request, not null
     * @param attempt the attempt that was just sent, not null
     */
    void arm(ActiveRequest active, Attempt attempt) {
        if (!attempt.stage.repeatable()) {
            return;
        }
        long timeout = policy.getAnswerTimeout(answerEstimate(active), active.remainingNanos(timers.now()));
        if (timeout != TimeoutPolicy.NO_TIMEOUT) {
            attempt.timer = timers.schedule(timers.now() + timeout, () -> checkProgress(active, attempt));
        }
    }

    private LatencyEstimate answerEstimate(ActiveRequest active) {
        return estimates.get(active.pipeline(), active.stage);
    }

    private void checkProgress(ActiveRequest active, Attempt attempt) {
        if (active.done || !active.open.contains(attempt)) {
            return;
        }
        long silent = timers.now() - attempt.progressNanos;
        long allowed = attempt.tokenSeen
                ? policy.getTokenTimeout(attempt.state.getTokenGap())
                : timers.now() - attempt.sentNanos;
        if (silent >= allowed) {
            port.cancel(attempt.id, attempt.state.getEndpoint());
            counters.add(Counters.Name.CANCELS);
            onTimeout.fail(
                    active, attempt, CallFailure.TIMEOUT, "no answer within " + silent / NANOS_PER_MILLI + " ms");
        } else {
            long due = attempt.progressNanos + allowed;
            attempt.timer = timers.schedule(due, () -> checkProgress(active, attempt));
        }
    }
}
