package org.fuchsiawharf.core.request;

import java.util.List;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.RequestLog.AttemptEntry;
import org.fuchsiawharf.core.port.StageCall;
import org.fuchsiawharf.core.retry.HedgePolicy;
import org.fuchsiawharf.core.retry.RetryPolicy;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.routing.ServicePool;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Runs the stages of requests: dispatch, queues, responses, failures, retries, hedges and stream continuation.
 *
 * <p>Invariants: a stage call is repeated only if the stage is repeatable or the earlier call certainly did not run;
 * a response is accepted only for the open attempt with the same identifier; every open attempt is counted once in
 * the state of its endpoint. Confined to the decision loop.
 */
final class StageRunner {
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;

    private final String instance;
    private final ActiveRequests requests;
    private final EndpointTable table;
    private final PolicySet policies;
    private final EndpointPort port;
    private final TimerService timers;
    private final StageEstimates estimates;
    private final StageQueues queues;
    private final Counters counters;
    private final SafetyRules rules;
    private final RequestCompletion completion;
    private final WaitingRequests waitingRequests;
    private final AttemptTimeouts timeouts;

    /** Ends requests with a response or an error. */
    interface RequestCompletion {
        /**
         * Completes a request with the response of its last stage.
         *
         * @param active the request, not null
         * @param response the response, not null
         */
        void complete(ActiveRequest active, Payload response);

        /**
         * Ends a request with an error.
         *
         * @param active the request, not null
         * @param code the error code, not null
         * @param detail a description of the error for the caller, not null
         */
        void abort(ActiveRequest active, ErrorCode code, String detail);
    }

    StageRunner(DecisionState state, PolicySet policies, EndpointPort port, RequestCompletion completion) {
        this.instance = state.instance();
        this.requests = state.requests();
        this.table = state.table();
        this.policies = policies;
        this.port = port;
        this.timers = state.timers();
        this.estimates = state.estimates();
        this.queues = state.queues();
        this.counters = state.counters();
        this.rules = state.rules();
        this.completion = completion;
        this.waitingRequests = new WaitingRequests(state, policies.admission(), this::tryDispatch, completion);
        this.timeouts = new AttemptTimeouts(state, policies.timeout(), port, this::fail);
    }

    // -----------------------------------------------------------------------

    /**
     * Starts or restarts the current stage of a request.
     *
     * @param active the request, not null
     */
    void start(ActiveRequest active) {
        if (active.done) {
            return;
        }
        StageSpec stage = active.stageSpec();
        ServicePool pool = table.getPool(stage.service());
        if (!waitingRequests.isWorthContinuing(active)) {
            completion.abort(
                    active, ErrorCode.DEADLINE_UNREACHABLE, "too little time is left for stage " + stage.name());
        } else if (!pool.isServing()) {
            completion.abort(
                    active, ErrorCode.NO_ENDPOINT, "service " + stage.service() + " has no endpoint that serves");
        } else {
            boolean queueIsEmpty = queues.get(stage.service()).queue().size() == 0;
            if (!queueIsEmpty || !tryDispatch(active)) {
                waitingRequests.enqueue(active);
            }
        }
    }

    /**
     * Dispatches queued requests of a service while an endpoint is available.
     *
     * @param service the name of the service, not null
     */
    void dispatchQueued(String service) {
        waitingRequests.dispatchQueued(service);
    }

    /** Allows probes of ejected endpoints, rejects overdue requests and dispatches queued ones; called periodically. */
    void tick() {
        for (String service : List.copyOf(queues.getAll().keySet())) {
            policies.health().allowProbes(table.getPool(service), timers.now());
            waitingRequests.rejectOverdue(service);
            dispatchQueued(service);
        }
    }

    // -----------------------------------------------------------------------

    private boolean tryDispatch(ActiveRequest active) {
        StageSpec stage = active.stageSpec();
        ServicePool pool = table.getPool(stage.service());
        EndpointState state =
                policies.selector().select(pool, active.request.prefixKey(), active.avoidedEndpoint, timers.now());
        if (state == null) {
            return false;
        }
        if (active.stageRetries == 0) {
            policies.retry().onFirstCall(stage.service());
        }
        dispatch(active, state);
        scheduleHedge(active);
        return true;
    }

    private void dispatch(ActiveRequest active, EndpointState state) {
        active.attempts++;
        AttemptId id = new AttemptId(instance, active.number, active.stage, active.attempts);
        Attempt attempt = new Attempt(id, state, active.stageSpec(), timers.now());
        active.openAttempts.add(attempt);
        state.onSent();
        counters.add(Counters.Name.CALLS);
        timeouts.schedule(active, attempt);
        port.call(toCall(active, attempt, false));
    }

    private StageCall toCall(ActiveRequest active, Attempt attempt, boolean reconnect) {
        return new StageCall(
                attempt.id,
                attempt.state.getEndpoint(),
                attempt.stage,
                active.request.workspace().name(),
                active.request.priority(),
                Math.max(1, active.remainingNanos(timers.now()) / NANOS_PER_MILLI),
                active.request.prefixKey(),
                active.request.body(),
                active.previousResponse,
                active.streamText.toString(),
                active.tokenCount,
                reconnect);
    }

    private void scheduleHedge(ActiveRequest active) {
        StageSpec stage = active.stageSpec();
        if (!stage.repeatable() || stage.streaming()) {
            return;
        }
        long delay = policies.hedge().getDelay(stage.service(), estimates.get(active.pipeline(), active.stage));
        if (delay != HedgePolicy.NO_HEDGE) {
            active.cancelStageTimer();
            active.stageTimer = timers.schedule(timers.now() + delay, () -> hedge(active));
        }
    }

    private void hedge(ActiveRequest active) {
        if (active.done || active.openAttempts.size() != 1) {
            return;
        }
        StageSpec stage = active.stageSpec();
        EndpointState primary = active.openAttempts.get(0).state;
        EndpointState state = policies.selector()
                .select(table.getPool(stage.service()), active.request.prefixKey(), primary, timers.now());
        if (state != null && state != primary && policies.hedge().trySpend(stage.service())) {
            counters.add(Counters.Name.HEDGES);
            dispatch(active, state);
        }
    }

    // -----------------------------------------------------------------------

    /**
     * Handles a token for an open attempt.
     *
     * @param active the request, not null
     * @param attempt the attempt, not null
     * @param event the token, not null
     */
    void onToken(ActiveRequest active, Attempt attempt, Event.TokenReceived event) {
        if (rules.isDuplicateToken(active.tokenCount, event.offset())) {
            counters.add(Counters.Name.REPEATED_TOKENS_DROPPED);
            return;
        }
        if (event.offset() > active.tokenCount) {
            counters.add(Counters.Name.STREAM_GAPS);
            port.cancel(attempt.id, attempt.state.getEndpoint());
            fail(active, attempt, CallFailure.LOST, "token " + active.tokenCount + " is missing");
            return;
        }
        active.recordPossibleEffect(attempt.stage);
        active.streamText.append(event.text());
        active.tokenCount++;
        if (active.isLastStage()) {
            for (CallerPort caller : active.callers) {
                caller.sendToken(event.offset(), event.text());
            }
        }
        recordProgress(attempt);
    }

    private void recordProgress(Attempt attempt) {
        long now = timers.now();
        boolean ejected = false;
        if (attempt.tokenReceived) {
            ServicePool pool = table.getPool(attempt.stage.service());
            ejected = policies.health().onToken(pool, attempt.state, now - attempt.lastProgressNanos, now);
        } else {
            attempt.state.getLimit().onResponseStart(attempt.state.getInFlight(), now - attempt.sentNanos, now);
        }
        attempt.tokenReceived = true;
        attempt.lastProgressNanos = now;
        if (ejected) {
            migrateFrom(attempt.state);
        }
    }

    /**
     * Handles the complete response of an open attempt.
     *
     * @param active the request, not null
     * @param attempt the attempt, not null
     * @param event the response, not null
     */
    void onCompleted(ActiveRequest active, Attempt attempt, Event.CallCompleted event) {
        if (attempt.stage.streaming() && event.tokens() != active.tokenCount) {
            counters.add(Counters.Name.STREAM_GAPS);
            fail(active, attempt, CallFailure.LOST, "the stream ended before token " + event.tokens());
            return;
        }
        active.recordPossibleEffect(attempt.stage);
        long nanos = timers.now() - attempt.sentNanos;
        boolean retried = active.stageRetries > 0;
        if (!retried) {
            ServicePool pool = table.getPool(attempt.stage.service());
            pool.getServiceTime().add(attempt.state.onCompleted(nanos));
            estimates.add(active.pipeline(), active.stage, nanos, timers.now());
        }
        if (!attempt.tokenReceived) {
            attempt.state.getLimit().onResponseStart(attempt.state.getInFlight(), nanos, timers.now());
        }
        endAttempt(active, attempt, "ok");
        boolean ejected = policies.health()
                .onSuccess(
                        table.getPool(attempt.stage.service()), attempt.state, attempt.stage.streaming(), timers.now());
        cancelOpenAttempts(active);
        Payload response =
                attempt.stage.streaming() ? StreamResponse.of(active.streamText, active.tokenCount) : event.answer();
        advance(active, response);
        if (ejected) {
            migrateFrom(attempt.state);
        }
        dispatchQueued(attempt.stage.service());
    }

    private void advance(ActiveRequest active, Payload response) {
        if (active.isLastStage()) {
            completion.complete(active, response);
        } else {
            active.advance(response);
            queues.onStageReached(active);
            start(active);
        }
    }

    // -----------------------------------------------------------------------

    /**
     * Ends a failed attempt; its request is continued by another attempt or ended.
     *
     * @param active the request, not null
     * @param attempt the attempt, not null
     * @param failure the reason, not null
     * @param detail a description of the failure, not null
     */
    void fail(ActiveRequest active, Attempt attempt, CallFailure failure, String detail) {
        String service = attempt.stage.service();
        boolean ejected = recordFailure(attempt, failure);
        endAttempt(active, attempt, failure.getWireName());
        if (failure.mayHaveRun()) {
            active.effectPossible = true;
        }
        if (active.openAttempts.isEmpty()) {
            rejoinOrRetry(active, attempt, failure, detail);
        }
        if (ejected) {
            migrateFrom(attempt.state);
        }
        dispatchQueued(service);
    }

    private boolean recordFailure(Attempt attempt, CallFailure failure) {
        if (failure == CallFailure.LEAVING) {
            attempt.state.onLeaving();
        }
        if (failure == CallFailure.REFUSED || failure == CallFailure.TIMEOUT) {
            attempt.state.getLimit().onPushback(attempt.state.getInFlight(), timers.now());
        }
        ServicePool pool = table.getPool(attempt.stage.service());
        return policies.health().onFailure(pool, attempt.state, failure, timers.now());
    }

    private void rejoinOrRetry(ActiveRequest active, Attempt attempt, CallFailure failure, String detail) {
        boolean streamInterrupted = failure == CallFailure.LOST || failure == CallFailure.GARBAGE;
        if (attempt.stage.streaming() && streamInterrupted && !attempt.reconnected) {
            rejoin(active, attempt);
            return;
        }
        boolean mayHaveRun = failure.mayHaveRun() || attempt.reconnected;
        if (mayHaveRun) {
            active.recordPossibleEffect(attempt.stage);
        }
        if (!rules.mayRepeatCall(attempt.stage, mayHaveRun)) {
            completion.abort(active, ErrorCode.STAGE_FAILED, describeFailure(attempt, failure, detail));
            return;
        }
        retry(active, attempt, failure, detail);
    }

    private void retry(ActiveRequest active, Attempt attempt, CallFailure failure, String detail) {
        long remaining = active.remainingNanos(timers.now());
        long delay = policies.retry().getDelay(attempt.stage.service(), active.stageRetries, failure, remaining);
        if (delay == RetryPolicy.NO_RETRY) {
            ErrorCode code = failure == CallFailure.REFUSED ? ErrorCode.OVERLOADED : ErrorCode.STAGE_FAILED;
            completion.abort(active, code, describeFailure(attempt, failure, detail));
            return;
        }
        counters.add(Counters.Name.RETRIES);
        active.stageRetries++;
        active.avoidedEndpoint = attempt.state;
        active.cancelStageTimer();
        if (delay == 0) {
            start(active);
        } else {
            active.stageTimer = timers.schedule(timers.now() + delay, () -> start(active));
        }
    }

    // Rejoins the run with the same attempt identifier, so that the endpoint does not run the stage again and sends
    // only the missing tokens.
    private void rejoin(ActiveRequest active, Attempt interrupted) {
        counters.add(Counters.Name.RECONNECTS);
        Attempt attempt = new Attempt(interrupted.id, interrupted.state, interrupted.stage, timers.now());
        attempt.reconnected = true;
        active.openAttempts.add(attempt);
        attempt.state.onSent();
        timeouts.schedule(active, attempt);
        port.call(toCall(active, attempt, true));
    }

    private static String describeFailure(Attempt attempt, CallFailure failure, String detail) {
        return "stage " + attempt.stage.name() + " at endpoint "
                + attempt.state.getEndpoint().name() + ": "
                + failure.getWireName() + ", " + detail;
    }

    // -----------------------------------------------------------------------

    // Cancels the repeatable calls at a newly ejected endpoint; a request without another open attempt starts its stage
    // again, at another endpoint if one is available.
    private void migrateFrom(EndpointState ejected) {
        counters.add(Counters.Name.EJECTIONS);
        for (ActiveRequest active : requests.toList()) {
            for (Attempt attempt : List.copyOf(active.openAttempts)) {
                if (attempt.state == ejected && attempt.stage.repeatable()) {
                    migrate(active, attempt);
                }
            }
        }
    }

    private void migrate(ActiveRequest active, Attempt attempt) {
        active.recordPossibleEffect(attempt.stage);
        port.cancel(attempt.id, attempt.state.getEndpoint());
        endAttempt(active, attempt, "migrated");
        counters.add(Counters.Name.MIGRATIONS);
        if (active.openAttempts.isEmpty()) {
            active.stageRetries++;
            active.avoidedEndpoint = attempt.state;
            start(active);
        }
    }

    // The elapsed time of a cancelled call is a lower bound of its latency. Without this sample, the estimate of an
    // endpoint that loses to hedges would omit its slow calls.
    private boolean recordCancelledCall(Attempt attempt) {
        long nanos = timers.now() - attempt.sentNanos;
        if (nanos <= attempt.state.getServiceTime().getMean()) {
            return false;
        }
        attempt.state.onCompleted(nanos);
        ServicePool pool = table.getPool(attempt.stage.service());
        return policies.health().onSuccess(pool, attempt.state, attempt.stage.streaming(), timers.now());
    }

    /**
     * Cancels every open attempt of a request.
     *
     * @param active the request, not null
     */
    void cancelOpenAttempts(ActiveRequest active) {
        for (Attempt attempt : List.copyOf(active.openAttempts)) {
            active.recordPossibleEffect(attempt.stage);
            port.cancel(attempt.id, attempt.state.getEndpoint());
            counters.add(Counters.Name.CANCELS);
            endAttempt(active, attempt, "cancelled");
            if (recordCancelledCall(attempt)) {
                migrateFrom(attempt.state);
            }
        }
    }

    private void endAttempt(ActiveRequest active, Attempt attempt, String result) {
        attempt.cancelTimer();
        active.openAttempts.remove(attempt);
        attempt.state.onEnded();
        long micros = (timers.now() - attempt.sentNanos) / NANOS_PER_MICRO;
        active.attemptHistory.add(new AttemptEntry(
                attempt.stage.name(), attempt.state.getEndpoint().name(), attempt.id.attempt(), result, micros));
    }
}
