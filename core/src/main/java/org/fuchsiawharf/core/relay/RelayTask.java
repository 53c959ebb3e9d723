package org.fuchsiawharf.core.relay;

import java.util.List;

import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.stream.StreamOrigin;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.core.time.TimerService.Timer;
import org.jspecify.annotations.Nullable;

/**
 * One request from its admission to its response.
 *
 * <p>A task ends once, in {@link #end}. Its outcome is not run as long as no attempt may have taken effect. A
 * non-idempotent request is sent again only if no earlier attempt can have taken effect. Confined to the decision
 * loop.
 */
final class RelayTask implements RequestAttempts.Callbacks, StageRun.Callbacks {
    /** Delay before a request is sent to another endpoint after a failed attempt; one round trip. */
    private static final long RETRY_DELAY_NANOS = 5_000_000L;
    /** Subtracted from the caller's deadline, so that a refusal reaches the caller in time. */
    private static final long RESPONSE_MARGIN_MILLIS = 20;
    /** Retry delay when the request limits of all endpoints are used up; about the interval of a limit of one a second. */
    private static final long LIMITED_RETRY_MILLIS = 1_000;
    /** Minimum interval at which a request whose stages are done checks whether a limited endpoint accepts it. */
    private static final long LIMIT_RECHECK_NANOS = 50_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final StageForecast forecast;
    private final RoutedRequest routedRequest;
    private final RouteStatistics statistics;
    private final Runnable onEnd;
    private final TimerService timers;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final long objectiveNanos;
    private final int rank;
    private final String service;
    private final EndpointChoice choice;
    private final Timer deadlineTimer;
    private final RequestAttempts attempts;
    private @Nullable StageRun stageRun;
    private @Nullable List<String> inputs;
    private @Nullable EndpointState avoidedEndpoint;
    private boolean resultsReleased;
    private double estimatedMillis;
    private long stagesNanos;
    private boolean streamStarted;
    private boolean served;
    private boolean ended;

    RelayTask(
            RelayContext context,
            StageForecast forecast,
            RoutedRequest routedRequest,
            RouteStatistics statistics,
            Runnable onEnd) {
        this.context = context;
        this.forecast = forecast;
        this.routedRequest = routedRequest;
        this.statistics = statistics;
        this.onEnd = onEnd;
        this.timers = context.timers();
        this.arrivedNanos = timers.now();
        Route route = routedRequest.route();
        long deadlineMillis = routedRequest.request().deadlineMillis() > 0
                ? Math.min(routedRequest.request().deadlineMillis(), route.timeoutMillis())
                : route.timeoutMillis();
        this.deadlineNanos = arrivedNanos + Math.max(1, deadlineMillis - RESPONSE_MARGIN_MILLIS) * NANOS_PER_MILLI;
        long elapsedMillis = statistics
                .getElapsedTime()
                .estimateMillis(routedRequest.request().deadlineMillis(), route.objectiveMillis());
        this.objectiveNanos = arrivedNanos + (route.objectiveMillis() - elapsedMillis) * NANOS_PER_MILLI;
        this.rank = route.getRank(routedRequest.workspace());
        long prefixKey = route.affinity() ? routedRequest.request().sharedPartHash() : 0;
        StreamOrigin origin = routedRequest.origin();
        this.service = routedRequest.chooseService(context);
        this.choice = new EndpointChoice(context, service, prefixKey);
        if (origin != null) {
            choice.restrictTo(origin.version());
        }
        this.attempts = new RequestAttempts(context, routedRequest, service, rank, deadlineNanos, choice, this);
        this.deadlineTimer = timers.schedule(deadlineNanos, this::onDeadline);
    }

    // -----------------------------------------------------------------------

    void start() {
        context.budget().onRequest(service);
        Route route = routedRequest.route();
        EndpointState endpoint = choice.select(avoidedEndpoint);
        if (endpoint == null) {
            rejectNotRun(ErrorCode.NO_ENDPOINT, "no endpoint of " + service + " is usable", choice.getRetryMillis());
            return;
        }
        if (route.stages().isEmpty()) {
            send();
            return;
        }
        StageForecast.StageEstimate stageEstimate =
                forecast.estimate(route, routedRequest.request().pieces(), rank);
        RequestAdmission.RequestEstimate requestEstimate = new RequestAdmission.RequestEstimate(
                rank,
                stageEstimate.waitMillis(),
                stageEstimate.lastMillis() * statistics.getStageBias() + statistics.getResponseMillis(),
                route.objectiveMillis(),
                (objectiveNanos - timers.now()) / (double) NANOS_PER_MILLI,
                (deadlineNanos - timers.now()) / (double) NANOS_PER_MILLI,
                statistics.getElapsedTime().getUnrecognizedMillis(route.objectiveMillis()));
        RequestAdmission.Decision decision = context.admission().decide(requestEstimate);
        long backlogStalenessNanos =
                context.pools().getBacklogStaleness(route.stages().get(0).service());
        RequestDecisionLog.writeAdmission(
                context.log(), routedRequest, rank, requestEstimate, decision, backlogStalenessNanos);
        if (!decision.admitted()) {
            statistics.getElapsedTime().onRefused();
            // Random spread prevents callers that were rejected together from retrying at the same time.
            long retryDelayMillis =
                    (long) (decision.retryAfterMillis() * (1 + context.random().nextDouble()));
            rejectNotRun(ErrorCode.OVERLOADED, "the request cannot be done in time", retryDelayMillis);
            return;
        }
        if (!choice.reserve()) {
            rejectNotRun(ErrorCode.OVERLOADED, "the endpoints of " + service + " limit requests", LIMITED_RETRY_MILLIS);
            return;
        }
        estimatedMillis = stageEstimate.lastMillis();
        startStages(endpoint, stageEstimate);
    }

    private void startStages(EndpointState endpoint, StageForecast.StageEstimate stageEstimate) {
        StageRun run = new StageRun(
                routedRequest.request(),
                routedRequest.route(),
                context.pools(),
                timers,
                StageRun.Schedule.of(
                        routedRequest.route(),
                        stageEstimate,
                        new StageRun.Limits(
                                timers.now(), objectiveNanos, deadlineNanos, statistics.getResponseMillis()),
                        rank,
                        endpoint.getEndpoint().zone()),
                stageEstimate.endMillis(),
                this);
        stageRun = run;
        run.start();
    }

    @Override
    public void onStagesReady(List<String> handles) {
        if (!ended) {
            inputs = handles;
            choice.onInputsReady(handles, routedRequest.route());
            stagesNanos = timers.now() - arrivedNanos;
            context.meters().time("stages_seconds", routedRequest.route().name(), stagesNanos);
            statistics.onStagesDone(estimatedMillis, stagesNanos / (double) NANOS_PER_MILLI);
            send();
        }
    }

    @Override
    public void onStagesFailed(PieceResult.Status status) {
        if (ended) {
            return;
        }
        ErrorCode code = status == PieceResult.Status.LATE ? ErrorCode.DEADLINE_UNREACHABLE : ErrorCode.STAGE_FAILED;
        fail(code, "a stage ended " + status, 0);
    }

    /** Ends the request because the instance stops. */
    void onStopping() {
        fail(ErrorCode.SHUTTING_DOWN, "this instance stops", EndpointChoice.NO_ENDPOINT_RETRY_MILLIS);
    }

    /** Ends the request, unless its response has begun, if it has a suspect that is now quarantined. */
    void onQuarantined(Suspect suspect) {
        if (!streamStarted && routedRequest.suspects().contains(suspect)) {
            failQuarantined(suspect);
        }
    }

    private void failQuarantined(Suspect suspect) {
        fail(
                ErrorCode.QUARANTINED,
                RelayInstance.QUARANTINE_DETAIL,
                context.quarantine().getRetryMillis(suspect));
    }

    /** Ends the request because its caller closed the connection. */
    void onCallerLeft() {
        end("caller_left", 0);
    }

    // -----------------------------------------------------------------------

    private void send() {
        EndpointState endpoint = choice.select(avoidedEndpoint);
        long remainingNanos = deadlineNanos - timers.now();
        long nextSendNanos = Math.max(timers.now() + LIMIT_RECHECK_NANOS, choice.getNextSendNanos());
        if (endpoint == null && nextSendNanos < deadlineNanos) {
            timers.schedule(nextSendNanos, this::sendUnlessEnded);
            return;
        }
        if (endpoint == null || remainingNanos < NANOS_PER_MILLI) {
            fail(ErrorCode.NO_ENDPOINT, "no endpoint of " + service + " is usable", choice.getRetryMillis());
            return;
        }
        choice.release();
        attempts.begin(endpoint, inputs);
    }

    private void sendUnlessEnded() {
        if (!ended) {
            send();
        }
    }

    private void retryOrFail(CallFailure failure, EndpointState failedEndpoint) {
        Suspect suspect = findQuarantined();
        if (suspect != null) {
            failQuarantined(suspect);
            return;
        }
        avoidedEndpoint = failedEndpoint;
        boolean retryAllowed = !failure.mayHaveRun() || attempts.mayTryAnotherEndpoint();
        if (!retryAllowed || !attempts.isOneLeft()) {
            String detail = "endpoint " + failedEndpoint.getEndpoint().name() + ": " + failure.getWireName();
            fail(ErrorCode.STAGE_FAILED, detail, EndpointChoice.NO_ENDPOINT_RETRY_MILLIS);
            return;
        }
        if (failure != CallFailure.NOT_SENT && !context.budget().trySpend(service)) {
            fail(ErrorCode.OVERLOADED, "the retry budget of " + service + " is spent", choice.getRetryMillis());
            return;
        }
        context.meters().count("resends", failure.getWireName());
        if (resultsReleased) {
            restartStages();
        } else if (failure == CallFailure.INPUTS_GONE) {
            reproduceInputs();
        } else if (failure == CallFailure.NOT_SENT) {
            send();
        } else {
            timers.schedule(timers.now() + RETRY_DELAY_NANOS, this::sendUnlessEnded);
        }
    }

    private @Nullable Suspect findQuarantined() {
        return context.quarantine().getQuarantined(routedRequest.suspects());
    }

    private void restartStages() {
        EndpointState endpoint = choice.select(avoidedEndpoint);
        if (endpoint == null) {
            fail(ErrorCode.NO_ENDPOINT, "no endpoint of " + service + " is usable", choice.getRetryMillis());
            return;
        }
        resultsReleased = false;
        startStages(
                endpoint,
                forecast.estimate(routedRequest.route(), routedRequest.request().pieces(), rank));
    }

    private void reproduceInputs() {
        StageRun run = stageRun;
        if (run == null || !run.recomputeTerminalStages(this::isProducerUsable)) {
            fail(ErrorCode.STAGE_FAILED, "results of stages are gone", 0);
        }
    }

    private boolean isProducerUsable(String handle) {
        EndpointState producer = context.table().findByHandle(handle);
        return producer != null && producer.isUsable();
    }

    @Override
    public String findZone(String handle) {
        return choice.findZone(handle);
    }

    private void onDeadline() {
        fail(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed", 0);
    }

    private void fail(ErrorCode code, String detail, long retryAfterMillis) {
        if (streamStarted) {
            endAndAnswer("broken_off:" + code.getWireName(), 0, routedRequest.exchange()::abort);
        } else if (!attempts.mayHaveTakenEffect()) {
            rejectNotRun(code, detail, retryAfterMillis);
        } else {
            Refusal.Kind kind = code == ErrorCode.DEADLINE_EXCEEDED ? Refusal.Kind.TIMED_OUT : Refusal.Kind.LOST;
            refuse(new Refusal(kind, code, detail, 0));
        }
    }

    private void rejectNotRun(ErrorCode code, String detail, long retryAfterMillis) {
        refuse(new Refusal(Refusal.Kind.NOT_RUN, code, detail, retryAfterMillis));
    }

    private void refuse(Refusal refusal) {
        if (!ended) {
            Runnable answer = () -> routedRequest.exchange().refuse(refusal);
            endAndAnswer(refusal.code().getWireName(), refusal.retryAfterMillis(), answer);
        }
    }

    private void endAndAnswer(String outcome, long retryAfterMillis, Runnable answer) {
        try {
            end(outcome, retryAfterMillis);
        } finally {
            answer.run();
        }
    }

    private void end(String outcome, long retryAfterMillis) {
        if (ended) {
            return;
        }
        ended = true;
        try {
            release(outcome.equals("answered"));
            recordEnd(outcome, retryAfterMillis);
        } finally {
            onEnd.run();
        }
    }

    private void release(boolean answered) {
        choice.release();
        deadlineTimer.cancel();
        attempts.cancel();
        releaseResults();
        if (streamStarted) {
            context.origins().onEnded(routedRequest.streamId(), answered);
        }
    }

    private void recordEnd(String outcome, long retryAfterMillis) {
        long elapsedNanos = timers.now() - arrivedNanos;
        if (served || !outcome.equals("answered")) {
            statistics.getDurations().onEnded(served, elapsedNanos);
        }
        context.meters().count("requests", outcome);
        context.meters().time("request_seconds", routedRequest.route().name(), elapsedNanos);
        RequestDecisionLog.Ending ending = new RequestDecisionLog.Ending(
                outcome,
                elapsedNanos,
                stagesNanos,
                stageRun == null ? "" : stageRun.describeEnds(),
                deadlineNanos - timers.now(),
                attempts.getResults(),
                retryAfterMillis);
        RequestDecisionLog.writeEnding(context.log(), routedRequest, ending);
    }

    // An engine has read its inputs once its stream has started; an engine that resumes the stream needs new results.
    private void releaseResults() {
        if (stageRun != null) {
            resultsReleased = true;
            stageRun.end();
        }
    }

    // -----------------------------------------------------------------------

    @Override
    public void onFirstEvent(String version, long elapsedNanos) {
        if (!streamStarted) {
            streamStarted = true;
            choice.onStreamStarted(version);
            routedRequest.recordOrigin(context.origins(), new StreamOrigin(service, version));
            releaseResults();
            statistics.onResponse(elapsedNanos);
            context.meters().time("first_event_seconds", routedRequest.route().name(), timers.now() - arrivedNanos);
        }
    }

    @Override
    public void onStreamCompleted() {
        served = true;
        end("answered", 0);
        routedRequest.exchange().finishStream();
    }

    @Override
    public void onResponse(EndpointResponse response, EndpointState endpoint, long elapsedNanos) {
        boolean failed = response.getStatus() >= EndpointAttempt.FIRST_FAILURE_STATUS;
        if (!failed) {
            statistics.onResponse(elapsedNanos);
        }
        if (streamStarted) {
            fail(ErrorCode.STAGE_FAILED, "the stream was not resumed", 0);
        } else if (failed
                && attempts.mayTryAnotherEndpoint()
                && context.budget().trySpend(service)) {
            avoidedEndpoint = endpoint;
            context.meters().count("resends", CallFailure.ERROR.getWireName());
            send();
        } else {
            served = response.getStatus() / 100 == 2;
            end("answered", 0);
            routedRequest.exchange().relay(response);
        }
    }

    @Override
    public void onFailure(CallFailure failure, EndpointState endpoint) {
        retryOrFail(failure, endpoint);
    }
}
