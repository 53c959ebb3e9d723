package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.List;

import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.RequestLog.AttemptEntry;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * A request that has no outcome yet.
 *
 * <p>It is either queued for its present stage, has open attempts at it, or waits for a retry. Once
 * {@link #unsafeEffect} is set it stays set. Confined to the decision loop.
 */
final class ActiveRequest {
    final long number;
    final String id;
    final CallerRequest request;
    final long arrivedNanos;
    final List<CallerPort> callers = new ArrayList<>(1);
    final List<Attempt> open = new ArrayList<>(2);
    final List<AttemptEntry> history = new ArrayList<>(8);

    int stage;
    int attempts;
    int stageRetries;
    Payload previous = Payload.NULL;
    StringBuilder text = new StringBuilder();
    long tokens;
    boolean effectPossible;
    boolean unsafeEffect;
    boolean queued;
    long queuedNanos;
    boolean done;
    boolean claimed;

    @Nullable
    EndpointState avoid;

    TimerService.@Nullable Timer deadlineTimer;
    TimerService.@Nullable Timer stageTimer;

    ActiveRequest(long number, String id, CallerRequest request, CallerPort caller, long arrivedNanos) {
        this.number = number;
        this.id = id;
        this.request = request;
        this.arrivedNanos = arrivedNanos;
        this.callers.add(caller);
    }

    // -----------------------------------------------------------------------

    Pipeline pipeline() {
        return request.pipeline();
    }

    StageSpec stageSpec() {
        return pipeline().stages().get(stage);
    }

    boolean isLastStage() {
        return stage == pipeline().stages().size() - 1;
    }

    long remainingNanos(long now) {
        return request.deadlineNanos() - now;
    }

    /**
     * Finds the open attempt that an answer names exactly.
     *
     * @param attemptId the id in the answer, not null
     * @param rules the rules in force, not null
     * @return the attempt, null if it is not open
     */
    @Nullable
    Attempt findOpen(AttemptId attemptId, SafetyRules rules) {
        for (Attempt attempt : open) {
            if (rules.isSameAttempt(attempt.id, attemptId)) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Decides the outcome of a request that ends now without an answer.
     *
     * @param rules the rules in force, not null
     * @return not run only if it is proved; unknown if a non-repeatable call may have taken effect
     */
    Outcome outcomeWithoutAnswer(SafetyRules rules) {
        boolean unsafe = unsafeEffect;
        for (Attempt attempt : open) {
            unsafe |= !attempt.stage.repeatable();
        }
        return rules.getOutcome(unsafe, effectPossible || !open.isEmpty());
    }

    // -----------------------------------------------------------------------

    /**
     * Notes that a call of the present stage may have taken effect.
     *
     * @param spec the stage, not null
     */
    void noteEffect(StageSpec spec) {
        effectPossible = true;
        unsafeEffect |= !spec.repeatable();
    }

    /**
     * Moves on to the next stage.
     *
     * @param answer the present stage's answer, not null
     */
    void advance(Payload answer) {
        previous = answer;
        stage++;
        stageRetries = 0;
        avoid = null;
        text = new StringBuilder();
        tokens = 0;
        cancelStageTimer();
    }

    void cancelStageTimer() {
        if (stageTimer != null) {
            stageTimer.cancel();
            stageTimer = null;
        }
    }
}
