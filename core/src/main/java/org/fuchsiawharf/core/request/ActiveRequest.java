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
 * A request without an outcome.
 *
 * <p>The request is queued for its current stage, has open attempts at that stage, or waits for a retry. The flag
 * {@link #nonRepeatableEffect} is never reset. Confined to the decision loop.
 */
final class ActiveRequest {
    final long number;
    final String id;
    final CallerRequest request;
    final long arrivedNanos;
    final List<CallerPort> callers = new ArrayList<>(1);
    final List<Attempt> openAttempts = new ArrayList<>(2);
    final List<AttemptEntry> attemptHistory = new ArrayList<>(8);

    int stage;
    int attempts;
    int stageRetries;
    Payload previousResponse = Payload.NULL;
    StringBuilder streamText = new StringBuilder();
    long tokenCount;
    boolean effectPossible;
    boolean nonRepeatableEffect;
    boolean queued;
    long queuedNanos;
    boolean done;
    boolean claimed;

    @Nullable
    EndpointState avoidedEndpoint;

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
     * Finds the open attempt that matches the attempt identifier of a response.
     *
     * @param attemptId the identifier in the response, not null
     * @param rules the safety rules, not null
     * @return the attempt, null if no open attempt matches
     */
    @Nullable
    Attempt findOpenAttempt(AttemptId attemptId, SafetyRules rules) {
        for (Attempt attempt : openAttempts) {
            if (rules.isSameAttempt(attempt.id, attemptId)) {
                return attempt;
            }
        }
        return null;
    }

    /**
     * Gets the outcome of the request if it ends now without a response.
     *
     * @param rules the safety rules, not null
     * @return {@code NOT_RUN} only if no call can have taken effect, {@code UNKNOWN} if a non-repeatable call may have
     *     taken effect, otherwise {@code FAILED}, never null
     */
    Outcome getOutcomeWithoutResponse(SafetyRules rules) {
        boolean nonRepeatable = nonRepeatableEffect;
        for (Attempt attempt : openAttempts) {
            nonRepeatable |= !attempt.stage.repeatable();
        }
        return rules.getOutcome(nonRepeatable, effectPossible || !openAttempts.isEmpty());
    }

    // -----------------------------------------------------------------------

    /**
     * Records that a call of a stage may have taken effect.
     *
     * @param spec the stage, not null
     */
    void recordPossibleEffect(StageSpec spec) {
        effectPossible = true;
        nonRepeatableEffect |= !spec.repeatable();
    }

    /**
     * Advances the request to its next stage.
     *
     * @param response the response of the current stage, not null
     */
    void advance(Payload response) {
        previousResponse = response;
        stage++;
        stageRetries = 0;
        avoidedEndpoint = null;
        streamText = new StringBuilder();
        tokenCount = 0;
        cancelStageTimer();
    }

    void cancelStageTimer() {
        if (stageTimer != null) {
            stageTimer.cancel();
            stageTimer = null;
        }
    }
}
