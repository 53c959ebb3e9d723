package org.fuchsiawharf.core.relay;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

import org.apache.commons.codec.digest.MurmurHash3;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.route.Workspace;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.core.time.TimerService.Timer;
import org.jspecify.annotations.Nullable;

/**
 * One request from its admission to its answer.
 *
 * <p>It ends once, in {@link #end}. Until a send may have taken effect, it ends as not run; a request that may not be
 * repeated is sent again only if no earlier send can have taken effect. Confined to the decision loop.
 */
final class RelayTask {
    /** How often a request is sent at most, refused sends included. */
    private static final int MAX_SENDS = 5;
    /** How long after a refusal by an endpoint the request is sent to another one; one round trip. */
    private static final long RESEND_PAUSE_NANOS = 5_000_000L;
    /** How many times its usual time a repeatable call may take before another endpoint is asked. */
    private static final double SLOW_FACTOR = 6;
    /** The least time that a repeatable call is given before another endpoint is asked. */
    private static final long MIN_SLOW_NANOS = 150_000_000L;
    /** How long an engine may be silent before a stream's first event; queueing for a slot included. */
    private static final long SILENT_START_NANOS = 1_500_000_000L;
    /** How long an engine may be silent within a stream; many pauses of a loaded engine. */
    private static final long SILENT_STREAM_NANOS = 700_000_000L;
    /** How often silence is looked for. */
    private static final long SILENCE_CHECK_NANOS = 200_000_000L;
    /** Taken off the caller's deadline, so that a refusal still reaches it in time. */
    private static final long ANSWER_MARGIN_MILLIS = 20;
    /** The priorities of routes that are told apart within one priority of workspaces. */
    private static final int ROUTE_RANKS = 3;
    /** How much earlier than needed a stage begins that nothing follows; about one call of a stage. */
    private static final double BEGIN_MARGIN_MILLIS = 300;
    /** Advice to come back when no endpoint can take the request now. */
    private static final long NO_ENDPOINT_RETRY_MILLIS = 400;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final RelayContext context;
    private final StageForecast forecast;
    private final Order order;
    private final RouteStatistics statistics;
    private final Runnable onEnd;
    private final TimerService timers;
    private final long arrivedNanos;
    private final long deadlineNanos;
    private final long objectiveNanos;
    private final int rank;
    private final long prefixKey;
    private final String service;
    private final Timer deadlineTimer;
    private final List<String> history = new ArrayList<>();
    private @Nullable StageRun stages;
    private @Nullable List<String> inputs;
    private @Nullable Send open;
    private @Nullable EndpointState avoid;
    private boolean stagesReleased;
    private double forecastMillis;
    private long stagesNanos;
    private int sends;
    private int effectiveSends;
    private boolean streamStarted;
    private boolean ended;

    /**
     * A request as it was admitted.
     *
     * @param request the request
     * @param exchange answers it
     * @param route its route
     * @param workspace its workspace, null on an open route
     * @param configVersion the version of the configuration that decides about it
     */
    record Order(
            RelayRequest request,
            CallerExchange exchange,
            Route route,
            @Nullable Workspace workspace,
            long configVersion) {}

    RelayTask(RelayContext context, StageForecast forecast, Order order, RouteStatistics statistics, Runnable onEnd) {
        this.context = context;
        this.forecast = forecast;
        this.order = order;
        this.statistics = statistics;
        this.onEnd = onEnd;
        this.timers = context.timers();
        this.arrivedNanos = timers.now();
        Route route = order.route();
        long deadlineMillis = order.request().deadlineMillis() > 0
                ? Math.min(order.request().deadlineMillis(), route.timeoutMillis())
                : route.timeoutMillis();
        this.deadlineNanos = arrivedNanos + Math.max(1, deadlineMillis - ANSWER_MARGIN_MILLIS) * NANOS_PER_MILLI;
        long elapsedMillis = statistics.elapsedMillis(order.request().deadlineMillis());
        this.objectiveNanos = arrivedNanos + (route.objectiveMillis() - elapsedMillis) * NANOS_PER_MILLI;
        Integer priority = order.workspace() == null ? null : order.workspace().priority();
        this.rank = combineRanks(priority, route.priority());
        this.prefixKey = route.affinity() ? hash(order.request().sharedPart()) : 0;
        this.service = route.chooseService(
                context.random().nextDouble(), s -> context.table().getPool(s).isServing());
        this.deadlineTimer = timers.schedule(deadlineNanos, this::onDeadline);
    }

    // -----------------------------------------------------------------------

    void start() {
        context.budget().onRequest(service);
        Route route = order.route();
        EndpointState endpoint = select();
        if (endpoint == null) {
            refuseNotRun(ErrorCode.NO_ENDPOINT, "no endpoint of " + service + " is usable", NO_ENDPOINT_RETRY_MILLIS);
            return;
        }
        if (route.stages().isEmpty()) {
            send();
            return;
        }
        StageForecast.Ends ends = forecast.foretell(route, order.request().pieces(), rank);
        double bias = statistics.getStageBias();
        RequestAdmission.Outlook outlook = new RequestAdmission.Outlook(
                rank,
                ends.waitMillis(),
                ends.lastMillis() * bias + statistics.getAnswerMillis(),
                (objectiveNanos - timers.now()) / (double) NANOS_PER_MILLI,
                (deadlineNanos - timers.now()) / (double) NANOS_PER_MILLI);
        RequestAdmission.Verdict verdict = context.admission().decide(outlook);
        logAdmission(outlook, verdict);
        if (!verdict.admitted()) {
            // Spread, so that callers refused together do not come back together.
            long spread =
                    (long) (verdict.retryAfterMillis() * (1 + context.random().nextDouble()));
            refuseNotRun(ErrorCode.OVERLOADED, "the request cannot be done in time", spread);
            return;
        }
        forecastMillis = ends.lastMillis();
        startStages(endpoint, ends);
    }

    private void startStages(EndpointState endpoint, StageForecast.Ends ends) {
        StageRun run = new StageRun(
                order.request(),
                order.route(),
                context.pools(),
                timers,
                plan(endpoint.getEndpoint().zone(), ends),
                this::findZone,
                this::onStagesReady,
                this::onStagesFailed);
        stages = run;
        run.start();
    }

    private StageRun.Plan plan(String zone, StageForecast.Ends ends) {
        double last = ends.lastMillis();
        List<Long> due = new ArrayList<>();
        List<Long> deadlines = new ArrayList<>();
        List<Long> begins = new ArrayList<>();
        for (int i = 0; i < ends.endMillis().size(); i++) {
            double spare = last - ends.endMillis().get(i);
            // A stage that others follow must leave them their time.
            long after = (long) ((spare + statistics.getAnswerMillis()) * NANOS_PER_MILLI);
            due.add(objectiveNanos - after);
            deadlines.add(deadlineNanos - after);
            double pause = order.route().isLast(i) ? Math.max(0, spare - BEGIN_MARGIN_MILLIS) : 0;
            begins.add(timers.now() + (long) (pause * NANOS_PER_MILLI));
        }
        return new StageRun.Plan(rank, zone, due, deadlines, begins);
    }

    private void onStagesReady(List<String> handles) {
        if (!ended) {
            inputs = handles;
            stagesNanos = timers.now() - arrivedNanos;
            context.meters().time("stages_seconds", order.route().name(), stagesNanos);
            statistics.onStagesDone(forecastMillis, stagesNanos / (double) NANOS_PER_MILLI);
            send();
        }
    }

    private void onStagesFailed(PieceResult.Status status) {
        if (ended) {
            return;
        }
        ErrorCode code = status == PieceResult.Status.LATE ? ErrorCode.DEADLINE_UNREACHABLE : ErrorCode.STAGE_FAILED;
        if (effectiveSends == 0) {
            refuseNotRun(code, "a stage ended " + status, 0);
        } else {
            refuse(new Refusal(Refusal.Kind.LOST, code, "a stage ended " + status, 0));
        }
    }

    /** Ends the request because the instance stops. */
    void onStopping() {
        giveUp(ErrorCode.SHUTTING_DOWN, "this instance stops", NO_ENDPOINT_RETRY_MILLIS);
    }

    /** Ends the request because its caller has gone. */
    void abandon() {
        end("caller_left", 0);
    }

    // -----------------------------------------------------------------------

    private @Nullable EndpointState select() {
        ServicePool pool = context.table().getPool(service);
        context.health().allowProbes(pool, timers.now());
        EndpointState chosen = context.selector().select(pool, prefixKey, avoid, timers.now());
        if (chosen != null) {
            return chosen;
        }
        // Any listed endpoint serves if none is healthy: a guess then beats a refusal.
        return pool.getMembers().stream()
                .filter(member -> !member.isLeaving() && member != avoid)
                .min((a, b) -> Integer.compare(a.getInFlight(), b.getInFlight()))
                .orElse(avoid != null && !avoid.isLeaving() ? avoid : null);
    }

    private void send() {
        EndpointState endpoint = select();
        long left = deadlineNanos - timers.now();
        if (endpoint == null || left < NANOS_PER_MILLI) {
            giveUp(ErrorCode.NO_ENDPOINT, "no endpoint of " + service + " is usable", NO_ENDPOINT_RETRY_MILLIS);
            return;
        }
        sends++;
        Send send = new Send(endpoint);
        open = send;
        send.begin(new EndpointCalls.Terms(
                left / NANOS_PER_MILLI,
                order.workspace() == null ? null : order.workspace().name(),
                rank,
                inputs,
                order.route().kind().isStream(),
                order.route().kind().isRepeatable()));
    }

    private void resend(CallFailure failure, EndpointState failed) {
        avoid = failed;
        boolean proven = !failure.isEffectPossible();
        boolean allowed = proven
                || (order.route().kind().isRepeatable()
                        && effectiveSends < order.route().maxAttempts());
        if (!allowed || sends >= MAX_SENDS) {
            giveUp(ErrorCode.STAGE_FAILED, "endpoint " + failed.getEndpoint().name() + ": " + failure.getWireName(), 0);
            return;
        }
        if (failure != CallFailure.NOT_SENT && !context.budget().tryRepeat(service)) {
            giveUp(ErrorCode.OVERLOADED, "the retry budget of " + service + " is spent", NO_ENDPOINT_RETRY_MILLIS);
            return;
        }
        context.meters().count("resends", failure.getWireName());
        if (stagesReleased) {
            restartStages();
        } else if (failure == CallFailure.INPUTS_GONE) {
            remakeInputs();
        } else if (failure == CallFailure.NOT_SENT) {
            send();
        } else {
            timers.schedule(timers.now() + RESEND_PAUSE_NANOS, () -> {
                if (!ended) {
                    send();
                }
            });
        }
    }

    private void restartStages() {
        EndpointState endpoint = select();
        if (endpoint == null) {
            giveUp(ErrorCode.NO_ENDPOINT, "no endpoint of " + service + " is usable", NO_ENDPOINT_RETRY_MILLIS);
            return;
        }
        stagesReleased = false;
        startStages(endpoint, forecast.foretell(order.route(), order.request().pieces(), rank));
    }

    private void remakeInputs() {
        StageRun run = stages;
        if (run == null || !run.remakeLast(this::isMakerUsable)) {
            giveUp(ErrorCode.STAGE_FAILED, "results of stages are gone", 0);
        }
    }

    private boolean isMakerUsable(String handle) {
        EndpointState maker = context.table().findByHandle(handle);
        return maker != null && maker.isUsable();
    }

    private String findZone(String handle) {
        EndpointState maker = context.table().findByHandle(handle);
        return maker == null ? "" : maker.getEndpoint().zone();
    }

    private void onDeadline() {
        Send send = open;
        if (send != null && send.call != null) {
            send.note("cut");
            send.call.cancel();
            send.close();
        }
        giveUp(ErrorCode.DEADLINE_EXCEEDED, "the deadline passed", 0);
    }

    private void giveUp(ErrorCode code, String detail, long retryAfterMillis) {
        if (streamStarted) {
            end("broken_off:" + code.getWireName(), 0);
            order.exchange().breakOff();
        } else if (effectiveSends == 0) {
            refuseNotRun(code, detail, retryAfterMillis);
        } else {
            Refusal.Kind kind = code == ErrorCode.DEADLINE_EXCEEDED ? Refusal.Kind.TIMED_OUT : Refusal.Kind.LOST;
            refuse(new Refusal(kind, code, detail, 0));
        }
    }

    private void refuseNotRun(ErrorCode code, String detail, long retryAfterMillis) {
        refuse(new Refusal(Refusal.Kind.NOT_RUN, code, detail, retryAfterMillis));
    }

    private void refuse(Refusal refusal) {
        if (!ended) {
            end(refusal.code().getWireName(), refusal.retryAfterMillis());
            order.exchange().refuse(refusal);
        }
    }

    private void end(String outcome, long retryAfterMillis) {
        if (ended) {
            return;
        }
        ended = true;
        deadlineTimer.cancel();
        Send send = open;
        if (send != null) {
            send.note("cut");
            if (send.call != null) {
                send.call.cancel();
            }
            send.close();
        }
        releaseStages();
        long took = timers.now() - arrivedNanos;
        context.meters().count("requests", outcome);
        context.meters().time("request_seconds", order.route().name(), took);
        logEnd(outcome, took, retryAfterMillis);
        onEnd.run();
    }

    // An engine has its inputs once its stream has begun; another one that resumes it needs them made again.
    private void releaseStages() {
        if (stages != null) {
            stagesReleased = true;
            stages.end();
        }
    }

    // -----------------------------------------------------------------------

    private void logAdmission(RequestAdmission.Outlook outlook, RequestAdmission.Verdict verdict) {
        String first = order.route().stages().get(0).service();
        context.log()
                .write(
                        verdict.admitted() ? "request.admitted" : "request.not_admitted",
                        "request",
                        order.request().id(),
                        "route",
                        order.route().name(),
                        "rank",
                        rank,
                        "wait_ms",
                        Math.round(outlook.waitMillis()),
                        "expected_ms",
                        Math.round(outlook.doneMillis()),
                        "objective_ms",
                        Math.round(outlook.objectiveMillis()),
                        "deadline_ms",
                        Math.round(outlook.deadlineMillis()),
                        "retry_after_ms",
                        verdict.retryAfterMillis(),
                        "backlog_age_ms",
                        context.pools().getBacklogAge(first) / NANOS_PER_MILLI);
    }

    private void logEnd(String outcome, long took, long retryAfterMillis) {
        context.log()
                .write(
                        "request.ended",
                        "request",
                        order.request().id(),
                        "route",
                        order.route().name(),
                        "workspace",
                        order.workspace() == null ? null : order.workspace().name(),
                        "config",
                        order.configVersion(),
                        "outcome",
                        outcome,
                        "took_ms",
                        took / NANOS_PER_MILLI,
                        "stages_ms",
                        stagesNanos / NANOS_PER_MILLI,
                        "left_ms",
                        (deadlineNanos - timers.now()) / NANOS_PER_MILLI,
                        "sends",
                        String.join(" ", history),
                        "retry_after_ms",
                        retryAfterMillis);
    }

    // A workspace's priority goes before that of the route, which still tells its requests apart.
    private static int combineRanks(@Nullable Integer workspace, int route) {
        return workspace == null ? route : workspace * ROUTE_RANKS + Math.min(route, ROUTE_RANKS - 1);
    }

    private static long hash(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        return bytes.length == 0 ? 0 : MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }

    /** One send of the request, from its beginning to its only end. */
    private final class Send implements EndpointCalls.Listener {
        private final EndpointState endpoint;
        private final ServicePool pool;
        private final long sentNanos = timers.now();
        private EndpointCalls.@Nullable Call call;
        private boolean firstEvent;
        private boolean closed;
        private @Nullable Timer silence;

        private Send(EndpointState endpoint) {
            this.endpoint = endpoint;
            this.pool = context.table().getPool(endpoint.getEndpoint().service());
        }

        private void begin(EndpointCalls.Terms terms) {
            endpoint.onSent();
            effectiveSends++;
            call = context.calls().send(order.exchange(), endpoint.getEndpoint(), terms, this);
            if (order.route().kind().isRepeatable()) {
                silence = timers.schedule(timers.now() + SILENCE_CHECK_NANOS, this::checkSilence);
            }
        }

        /** Ends the send without a word to the request. */
        private void close() {
            if (!closed) {
                closed = true;
                endpoint.onEnded();
                if (silence != null) {
                    silence.cancel();
                }
                if (open == this) {
                    open = null;
                }
            }
        }

        private void checkSilence() {
            silence = null;
            EndpointCalls.Call present = call;
            if (closed || present == null) {
                return;
            }
            boolean another = effectiveSends < order.route().maxAttempts();
            if (another && timers.now() - present.getHeardNanos() > silenceBound()) {
                present.cancel();
                onFailed(CallFailure.TIMEOUT, "silent for too long");
            } else {
                silence = timers.schedule(timers.now() + SILENCE_CHECK_NANOS, this::checkSilence);
            }
        }

        private long silenceBound() {
            if (!order.route().kind().isStream()) {
                return Math.max(
                        MIN_SLOW_NANOS, (long) (SLOW_FACTOR * pool.getUsual().getMean()));
            }
            long start = Math.max(SILENT_START_NANOS, order.route().objectiveMillis() * NANOS_PER_MILLI);
            return firstEvent ? SILENT_STREAM_NANOS : start;
        }

        @Override
        public void onStreamStarted() {
            if (closed) {
                return;
            }
            firstEvent = true;
            if (!streamStarted) {
                streamStarted = true;
                releaseStages();
                statistics.onAnswered(timers.now() - sentNanos);
                context.meters().time("first_event_seconds", order.route().name(), timers.now() - arrivedNanos);
            }
        }

        @Override
        public void onStreamEnded(long events) {
            if (closed) {
                return;
            }
            note("ok");
            context.health().onSuccess(pool, endpoint, true, timers.now());
            close();
            end("answered", 0);
            order.exchange().finishStream();
        }

        @Override
        public void onAnswered(EndpointAnswer answer) {
            if (closed) {
                return;
            }
            note(Integer.toString(answer.getStatus()));
            close();
            boolean failed = answer.getStatus() >= 500;
            if (failed) {
                context.health().onFailure(pool, endpoint, CallFailure.ERROR, timers.now());
            } else {
                pool.getUsual().add(endpoint.onCompleted(timers.now() - sentNanos));
                statistics.onAnswered(timers.now() - sentNanos);
                context.health().onSuccess(pool, endpoint, false, timers.now());
            }
            boolean another = order.route().kind().isRepeatable()
                    && effectiveSends < order.route().maxAttempts();
            if (failed && another && !streamStarted && context.budget().tryRepeat(service)) {
                avoid = endpoint;
                context.meters().count("resends", CallFailure.ERROR.getWireName());
                send();
            } else if (streamStarted) {
                giveUp(ErrorCode.STAGE_FAILED, "the stream was not resumed", 0);
            } else {
                end("answered", 0);
                order.exchange().relay(answer);
            }
        }

        @Override
        public void onFailed(CallFailure failure, String detail) {
            if (closed) {
                return;
            }
            note(failure.getWireName());
            close();
            if (!failure.isEffectPossible()) {
                effectiveSends--;
            }
            context.log()
                    .write(
                            "call.failed",
                            "request",
                            order.request().id(),
                            "endpoint",
                            endpoint.getEndpoint().name(),
                            "failure",
                            failure.getWireName(),
                            "detail",
                            detail,
                            "took_ms",
                            (timers.now() - sentNanos) / NANOS_PER_MILLI,
                            "endpoint_in_flight",
                            endpoint.getInFlight());
            if (failure == CallFailure.LEAVING) {
                endpoint.onLeaving();
            } else if (failure != CallFailure.INPUTS_GONE) {
                boolean ejected = context.health().onFailure(pool, endpoint, failure, timers.now());
                if (ejected) {
                    context.log()
                            .write(
                                    "endpoint.ejected",
                                    "endpoint",
                                    endpoint.getEndpoint().name(),
                                    "after",
                                    failure.getWireName());
                }
            }
            resend(failure, endpoint);
        }

        private void note(String result) {
            long took = (timers.now() - sentNanos) / NANOS_PER_MILLI;
            history.add(endpoint.getEndpoint().name() + ":" + result + ":" + took + "ms");
        }
    }
}
