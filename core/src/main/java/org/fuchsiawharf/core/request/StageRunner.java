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
 * Runs the stages of requests: dispatch, queues, answers, failures, retries, hedges and stream continuation.
 *
 * <p>Invariants: a stage's call is repeated only if the stage is repeatable or the earlier call is proved not to
 * have run; an answer counts only for the exact open attempt that it names; every open attempt is counted once in
 * its endpoint's state. Confined to the decision loop.
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
    private final RequestEnd end;
    private final WaitingRequests waiting;
    private final AttemptTimeouts timeouts;

    /** Ends requests for the runner. */
    interface RequestEnd {
        /**
         * Ends a request with the last stage's answer.
         *
         * @param active the request, not null
         * @param answer the answer, not null
         */
        void answer(ActiveRequest active, Payload answer);

        /**
         * Ends a request without an answer.
         *
         * @param active the request, not null
         * @param code why, not null
         * @param detail what happened, not null
         */
        void refuse(ActiveRequest active, ErrorCode code, String detail);
    }

    StageRunner(DecisionState state, PolicySet policies, EndpointPort port, RequestEnd end) {
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
        this.end = end;
        this.waiting = new WaitingRequests(state, policies.admission(), this::tryDispatch, end);
        this.timeouts = new AttemptTimeouts(state, policies.timeout(), port, this::fail);
    }

    // -----------------------------------------------------------------------

    /**
     * Starts or restarts the present stage of a request.
     *
     * @param active the request, not null
     */
    void start(ActiveRequest active) {
        if (active.done) {
            return;
        }
        StageSpec stage = active.stageSpec();
        ServicePool pool = table.getPool(stage.service());
        if (!waiting.isWorthContinuing(active)) {
            end.refuse(active, ErrorCode.DEADLINE_UNREACHABLE, "too little time is left for stage " + stage.name());
        } else if (!pool.isServing()) {
            end.refuse(active, ErrorCode.NO_ENDPOINT, "service " + stage.service() + " has no endpoint that serves");
        } else {
            boolean queueIsEmpty = queues.get(stage.service()).queue().size() == 0;
            if (!queueIsEmpty || !tryDispatch(active)) {
                waiting.enqueue(active);
            }
        }
    }

    /**
     * Sends queued requests of a service for as long as its endpoints have room.
     *
     * @param service the service's name, not null
     */
    void pump(String service) {
        waiting.pump(service);
    }

    /** Lets ejected endpoints be probed and queues move on; called at a fixed interval. */
    void tick() {
        for (String service : List.copyOf(queues.getAll().keySet())) {
            policies.health().allowProbes(table.getPool(service), timers.now());
            waiting.refuseOverdue(service);
            pump(service);
        }
    }

    // -----------------------------------------------------------------------

    private boolean tryDispatch(ActiveRequest active) {
        StageSpec stage = active.stageSpec();
        ServicePool pool = table.getPool(stage.service());
        EndpointState state = policies.selector().select(pool, active.request.prefixKey(), active.avoid, timers.now());
        if (state == null) {
            return false;
        }
        if (active.stageRetries == 0) {
            policies.retry().onFirstCall(stage.service());
        }
        dispatch(active, state);
        armHedge(active);
        return true;
    }

    private void dispatch(ActiveRequest active, EndpointState state) {
        active.attempts++;
        AttemptId id = new AttemptId(instance, active.number, active.stage, active.attempts);
        Attempt attempt = new Attempt(id, state, active.stageSpec(), timers.now());
        active.open.add(attempt);
        state.onSent();
        counters.add(Counters.Name.CALLS);
        timeouts.arm(active, attempt);
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
                active.previous,
                active.text.toString(),
                active.tokens,
                reconnect);
    }

    private void armHedge(ActiveRequest active) {
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
        if (active.done || active.open.size() != 1) {
            return;
        }
        StageSpec stage = active.stageSpec();
        EndpointState first = active.open.get(0).state;
        EndpointState state = policies.selector()
                .select(table.getPool(stage.service()), active.request.prefixKey(), first, timers.now());
        if (state != null && state != first && policies.hedge().trySpend(stage.service())) {
            counters.add(Counters.Name.HEDGES);
            dispatch(active, state);
        }
    }

    // -----------------------------------------------------------------------

    /**
     * Takes in a token for an open attempt.
     *
     * @param active the request, not null
     * @param attempt the attempt, not null
     * @param event the token, not null
     */
    void onToken(ActiveRequest active, Attempt attempt, Event.TokenReceived event) {
        if (rules.isRepeatedToken(active.tokens, event.offset())) {
            counters.add(Counters.Name.REPEATED_TOKENS_DROPPED);
            return;
        }
        if (event.offset() > active.tokens) {
            counters.add(Counters.Name.STREAM_GAPS);
            port.cancel(attempt.id, attempt.state.getEndpoint());
            fail(active, attempt, CallFailure.LOST, "token " + active.tokens + " is missing");
            return;
        }
        active.noteEffect(attempt.stage);
        active.text.append(event.text());
        active.tokens++;
        if (active.isLastStage()) {
            for (CallerPort caller : active.callers) {
                caller.token(event.offset(), event.text());
            }
        }
        noteProgress(attempt);
    }

    private void noteProgress(Attempt attempt) {
        long now = timers.now();
        boolean ejected = false;
        if (attempt.tokenSeen) {
            ServicePool pool = table.getPool(attempt.stage.service());
            ejected = policies.health().onToken(pool, attempt.state, now - attempt.progressNanos, now);
        } else {
            attempt.state.getLimit().onAnswer(attempt.state.getInFlight(), now - attempt.sentNanos, now);
        }
        attempt.tokenSeen = true;
        attempt.progressNanos = now;
        if (ejected) {
            moveAway(attempt.state);
        }
    }

    /**
     * Takes in the whole answer of an open attempt.
     *
     * @param active the request, not null
     * @param attempt the attempt, not null
     * @param event the answer, not null
     */
    void onCompleted(ActiveRequest active, Attempt attempt, Event.CallCompleted event) {
        if (attempt.stage.streaming() && event.tokens() != active.tokens) {
            counters.add(Counters.Name.STREAM_GAPS);
            fail(active, attempt, CallFailure.LOST, "the stream ended before token " + event.tokens());
            return;
        }
        active.noteEffect(attempt.stage);
        long nanos = timers.now() - attempt.sentNanos;
        boolean partial = active.stageRetries > 0;
        if (!partial) {
            ServicePool pool = table.getPool(attempt.stage.service());
            pool.getUsual().add(attempt.state.onCompleted(nanos));
            estimates.add(active.pipeline(), active.stage, nanos, timers.now());
        }
        if (!attempt.tokenSeen) {
            attempt.state.getLimit().onAnswer(attempt.state.getInFlight(), nanos, timers.now());
        }
        release(active, attempt, "ok");
        boolean ejected = policies.health()
                .onSuccess(
                        table.getPool(attempt.stage.service()), attempt.state, attempt.stage.streaming(), timers.now());
        cancelOpen(active);
        Payload answer = attempt.stage.streaming() ? StreamAnswer.of(active.text, active.tokens) : event.answer();
        advance(active, answer);
        if (ejected) {
            moveAway(attempt.state);
        }
        pump(attempt.stage.service());
    }

    private void advance(ActiveRequest active, Payload answer) {
        if (active.isLastStage()) {
            end.answer(active, answer);
        } else {
            active.advance(answer);
            queues.onStageReached(active);
            start(active);
        }
    }

    // -----------------------------------------------------------------------

    /**
     * Takes in the failure of an open attempt.
     *
     * @param active the request, not null
     * @param attempt the attempt, not null
     * @param failure why it failed, not null
     * @param detail what was seen, not null
     */
    void fail(ActiveRequest active, Attempt attempt, CallFailure failure, String detail) {
        String service = attempt.stage.service();
        boolean ejected = learn(attempt, failure);
        release(active, attempt, failure.getWireName());
        if (failure.isEffectPossible()) {
            active.effectPossible = true;
        }
        if (active.open.isEmpty()) {
            recover(active, attempt, failure, detail);
        }
        if (ejected) {
            moveAway(attempt.state);
        }
        pump(service);
    }

    private boolean learn(Attempt attempt, CallFailure failure) {
        if (failure == CallFailure.LEAVING) {
            attempt.state.onLeaving();
        }
        if (failure == CallFailure.REFUSED || failure == CallFailure.TIMEOUT) {
            attempt.state.getLimit().onPushback(attempt.state.getInFlight(), timers.now());
        }
        ServicePool pool = table.getPool(attempt.stage.service());
        return policies.health().onFailure(pool, attempt.state, failure, timers.now());
    }

    private void recover(ActiveRequest active, Attempt attempt, CallFailure failure, String detail) {
        boolean broken = failure == CallFailure.LOST || failure == CallFailure.GARBAGE;
        if (attempt.stage.streaming() && broken && !attempt.reconnected) {
            reconnect(active, attempt);
            return;
        }
        boolean mayHaveRun = failure.isEffectPossible() || attempt.reconnected;
        if (mayHaveRun) {
            active.noteEffect(attempt.stage);
        }
        if (!rules.mayCallAgain(attempt.stage, mayHaveRun)) {
            end.refuse(active, ErrorCode.STAGE_FAILED, describe(attempt, failure, detail));
            return;
        }
        retry(active, attempt, failure, detail);
    }

    private void retry(ActiveRequest active, Attempt attempt, CallFailure failure, String detail) {
        long remaining = active.remainingNanos(timers.now());
        long delay = policies.retry().getDelay(attempt.stage.service(), active.stageRetries, failure, remaining);
        if (delay == RetryPolicy.NO_RETRY) {
            ErrorCode code = failure == CallFailure.REFUSED ? ErrorCode.OVERLOADED : ErrorCode.STAGE_FAILED;
            end.refuse(active, code, describe(attempt, failure, detail));
            return;
        }
        counters.add(Counters.Name.RETRIES);
        active.stageRetries++;
        active.avoid = attempt.state;
        active.cancelStageTimer();
        if (delay == 0) {
            start(active);
        } else {
            active.stageTimer = timers.schedule(timers.now() + delay, () -> start(active));
        }
    }

    // Rejoins the same run, so that nothing runs twice; the endpoint sends what is missing.
    private void reconnect(ActiveRequest active, Attempt broken) {
        counters.add(Counters.Name.RECONNECTS);
        Attempt attempt = new Attempt(broken.id, broken.state, broken.stage, timers.now());
        attempt.reconnected = true;
        active.open.add(attempt);
        attempt.state.onSent();
        timeouts.arm(active, attempt);
        port.call(toCall(active, attempt, true));
    }

    private static String describe(Attempt attempt, CallFailure failure, String detail) {
        return "stage " + attempt.stage.name() + " at endpoint "
                + attempt.state.getEndpoint().name() + ": "
                + failure.getWireName() + ", " + detail;
    }

    // -----------------------------------------------------------------------

    // Moves repeatable calls away from an endpoint that was just ejected.
    private void moveAway(EndpointState ejected) {
        counters.add(Counters.Name.EJECTIONS);
        for (ActiveRequest active : requests.toList()) {
            for (Attempt attempt : List.copyOf(active.open)) {
                if (attempt.state == ejected && attempt.stage.repeatable()) {
                    migrate(active, attempt);
                }
            }
        }
    }

    private void migrate(ActiveRequest active, Attempt attempt) {
        active.noteEffect(attempt.stage);
        port.cancel(attempt.id, attempt.state.getEndpoint());
        release(active, attempt, "migrated");
        counters.add(Counters.Name.MIGRATIONS);
        if (active.open.isEmpty()) {
            active.stageRetries++;
            active.avoid = attempt.state;
            start(active);
        }
    }

    // A call that lost to its hedge took at least this long, which its endpoint's estimate must show.
    private boolean noteLate(Attempt attempt) {
        long nanos = timers.now() - attempt.sentNanos;
        if (nanos <= attempt.state.getService().getMean()) {
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
    void cancelOpen(ActiveRequest active) {
        for (Attempt attempt : List.copyOf(active.open)) {
            active.noteEffect(attempt.stage);
            port.cancel(attempt.id, attempt.state.getEndpoint());
            counters.add(Counters.Name.CANCELS);
            release(active, attempt, "cancelled");
            if (noteLate(attempt)) {
                moveAway(attempt.state);
            }
        }
    }

    private void release(ActiveRequest active, Attempt attempt, String result) {
        attempt.cancelTimer();
        active.open.remove(attempt);
        attempt.state.onEnded();
        long micros = (timers.now() - attempt.sentNanos) / NANOS_PER_MICRO;
        active.history.add(new AttemptEntry(
                attempt.stage.name(), attempt.state.getEndpoint().name(), attempt.id.attempt(), result, micros));
    }
}
