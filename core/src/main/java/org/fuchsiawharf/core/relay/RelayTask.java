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
final class RelayTask implements EndpointSend.Owner, StageRun.Owner {
    /** How often a request is sent at most, refused sends included. */
    private static final int MAX_SENDS = 5;
    /** How long after a refusal by an endpoint the request is sent to another one; one round trip. */
    private static final long RESEND_PAUSE_NANOS = 5_000_000L;
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
    private @Nullable EndpointSend open;
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
                route.objectiveMillis(),
                (objectiveNanos - timers.now()) / (double) NANOS_PER_MILLI,
                (deadlineNanos - timers.now()) / (double) NANOS_PER_MILLI);
        RequestAdmission.Verdict verdict = context.admission().decide(outlook);
        long age = context.pools().getBacklogAge(route.stages().get(0).service());
        RequestLines.writeAdmission(context.log(), order, rank, outlook, verdict, age);
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
                this);
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

    @Override
    public void onStagesReady(List<String> handles) {
        if (!ended) {
            inputs = handles;
            stagesNanos = timers.now() - arrivedNanos;
            context.meters().time("stages_seconds", order.route().name(), stagesNanos);
            statistics.onStagesDone(forecastMillis, stagesNanos / (double) NANOS_PER_MILLI);
            send();
        }
    }

    @Override
    public void onStagesFailed(PieceResult.Status status) {
        if (ended) {
            return;
        }
        ErrorCode code = status == PieceResult.Status.LATE ? ErrorCode.DEADLINE_UNREACHABLE : ErrorCode.STAGE_FAILED;
        giveUp(code, "a stage ended " + status, 0);
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
        effectiveSends++;
        EndpointSend send = new EndpointSend(context, order, endpoint, this);
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
        boolean allowed = !failure.isEffectPossible() || mayAskAnother();
        if (!allowed || sends >= MAX_SENDS) {
            String detail = "endpoint " + failed.getEndpoint().name() + ": " + failure.getWireName();
            giveUp(ErrorCode.STAGE_FAILED, detail, NO_ENDPOINT_RETRY_MILLIS);
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

    @Override
    public String findZone(String handle) {
        EndpointState maker = context.table().findByHandle(handle);
        return maker == null ? "" : maker.getEndpoint().zone();
    }

    private void onDeadline() {
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
        EndpointSend send = open;
        open = null;
        if (send != null) {
            send.cut();
        }
        releaseStages();
        long took = timers.now() - arrivedNanos;
        context.meters().count("requests", outcome);
        context.meters().time("request_seconds", order.route().name(), took);
        RequestLines.Ending ending = new RequestLines.Ending(
                outcome, took, stagesNanos, deadlineNanos - timers.now(), history, retryAfterMillis);
        RequestLines.writeEnding(context.log(), order, ending);
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

    @Override
    public boolean mayAskAnother() {
        return order.route().kind().isRepeatable()
                && effectiveSends < order.route().maxAttempts();
    }

    @Override
    public void onNote(String result) {
        history.add(result);
    }

    @Override
    public void onFirstEvent(long tookNanos) {
        if (!streamStarted) {
            streamStarted = true;
            releaseStages();
            statistics.onAnswered(tookNanos);
            context.meters().time("first_event_seconds", order.route().name(), timers.now() - arrivedNanos);
        }
    }

    @Override
    public void onWholeStream() {
        open = null;
        end("answered", 0);
        order.exchange().finishStream();
    }

    @Override
    public void onAnswer(EndpointAnswer answer, EndpointState from, long tookNanos) {
        open = null;
        boolean failed = answer.getStatus() >= EndpointSend.FIRST_FAILURE_STATUS;
        if (!failed) {
            statistics.onAnswered(tookNanos);
        }
        if (streamStarted) {
            giveUp(ErrorCode.STAGE_FAILED, "the stream was not resumed", 0);
        } else if (failed && mayAskAnother() && context.budget().tryRepeat(service)) {
            avoid = from;
            context.meters().count("resends", CallFailure.ERROR.getWireName());
            send();
        } else {
            end("answered", 0);
            order.exchange().relay(answer);
        }
    }

    @Override
    public void onFailure(CallFailure failure, EndpointState from) {
        open = null;
        if (!failure.isEffectPossible()) {
            effectiveSends--;
        }
        resend(failure, from);
    }

    // -----------------------------------------------------------------------

    // A workspace's priority goes before that of the route, which still tells its requests apart.
    private static int combineRanks(@Nullable Integer workspace, int route) {
        return workspace == null ? route : workspace * ROUTE_RANKS + Math.min(route, ROUTE_RANKS - 1);
    }

    private static long hash(String part) {
        byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
        return bytes.length == 0 ? 0 : MurmurHash3.hash128x64(bytes, 0, bytes.length, 0)[0];
    }
}
