package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

import org.fuchsiawharf.core.claims.ClaimResult;
import org.fuchsiawharf.core.error.ErrorCode;
import org.fuchsiawharf.core.limits.WorkspaceCounts;
import org.fuchsiawharf.core.loop.EventProcessor;
import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.ClaimPort;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.RequestLog;
import org.fuchsiawharf.core.port.RequestResult;
import org.fuchsiawharf.core.port.StatusSnapshot;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The request processing of one entry instance, which maps events to endpoint calls and responses.
 *
 * <p>Time is passed in with each event and random sources with the policies, so the same events at the same times
 * lead to the same decisions. This class decides the single outcome of each request.
 *
 * <pre>
 * InstanceDecisions decisions = new InstanceDecisions("lim-a-1", "lim-a", policies, ports, onDrained, 0);
 * decisions.process(new Event.RequestArrived(request, caller), clock.nanos());
 * </pre>
 *
 * <p>Confined to one thread, except for {@link #getCounters}.
 */
public final class InstanceDecisions implements EventProcessor {
    /**
     * The output ports of an instance.
     *
     * @param endpoints the port that sends calls
     * @param claims the port that claims idempotency keys
     * @param log the log of ended requests
     */
    public record Ports(EndpointPort endpoints, ClaimPort claims, RequestLog log) {}

    private static final long TICK_NANOS = 100_000_000;
    private static final long NANOS_PER_MILLI = 1_000_000;
    private static final long NANOS_PER_MICRO = 1_000;
    private static final long MIN_RETRY_AFTER_MILLIS = 1_000;
    private static final double ADMIT_DEVIATIONS = 1;

    private final String instance;
    private final PolicySet policies;
    private final RequestLog log;
    private final ClaimPort claims;
    private final Runnable onDrained;
    private final TimerService timers;
    private final EndpointTable table;
    private final StageQueues queues;
    private final StageEstimates estimates;
    private final ActiveRequests requests;
    private final Counters counters;
    private final SafetyRules rules;
    private final IdempotencyTable idempotency = new IdempotencyTable();
    private final WorkspaceCounts workspaceCounts = new WorkspaceCounts();
    private final StageRunner runner;
    private long revision;
    private long nextRequestNumber = 1;
    private boolean draining;

    /**
     * Creates the decisions of an instance without endpoints or requests.
     *
     * @param instance the name of the instance, unique among running instances, not null
     * @param zone the availability zone of the instance, not null
     * @param policies the policies, not null
     * @param ports the output ports, not null
     * @param onDrained the callback run once after a requested shutdown when no request is left, not null
     * @param startNanos the start time, in nanoseconds
     */
    public InstanceDecisions(
            String instance, String zone, PolicySet policies, Ports ports, Runnable onDrained, long startNanos) {
        this(
                instance,
                policies,
                ports,
                onDrained,
                DecisionState.of(instance, zone, policies, startNanos, SafetyRules.STRICT));
    }

    /**
     * Creates the decisions from a given state.
     *
     * @param instance the name of the instance, not null
     * @param policies the policies, not null
     * @param ports the output ports, not null
     * @param onDrained the callback run once after a requested shutdown when no request is left, not null
     * @param state the state, not null
     */
    InstanceDecisions(String instance, PolicySet policies, Ports ports, Runnable onDrained, DecisionState state) {
        this.instance = instance;
        this.policies = policies;
        this.log = ports.log();
        this.claims = ports.claims();
        this.onDrained = onDrained;
        this.timers = state.timers();
        this.table = state.table();
        this.queues = state.queues();
        this.estimates = state.estimates();
        this.requests = state.requests();
        this.counters = state.counters();
        this.rules = state.rules();
        this.runner = new StageRunner(state, policies, ports.endpoints(), new CompletionHandler());
        timers.schedule(timers.now() + TICK_NANOS, this::tick);
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the counters, which are safe to read from any thread.
     *
     * @return the counters, never null
     */
    public Counters getCounters() {
        return counters;
    }

    @Override
    public long getNextDue() {
        return timers.getNextDue();
    }

    @Override
    public void process(Event event, long nowNanos) {
        timers.advance(nowNanos);
        if (event instanceof Event.RequestArrived arrived) {
            onRequestArrived(arrived.request(), arrived.caller());
        } else if (event instanceof Event.TokenReceived token) {
            applyToOpenAttempt(token.id(), (active, attempt) -> runner.onToken(active, attempt, token));
        } else if (event instanceof Event.CallCompleted completed) {
            applyToOpenAttempt(completed.id(), (active, attempt) -> runner.onCompleted(active, attempt, completed));
        } else if (event instanceof Event.CallFailed failed) {
            applyToOpenAttempt(
                    failed.id(), (active, attempt) -> runner.fail(active, attempt, failed.failure(), failed.detail()));
        } else if (event instanceof Event.CallerLeft left) {
            onCallerLeft(left.caller());
        } else {
            processState(event);
        }
    }

    private void processState(Event event) {
        if (event instanceof Event.LoadReported report) {
            onLoadReported(report);
        } else if (event instanceof Event.CacheChanged change) {
            onCacheChanged(change);
        } else if (event instanceof Event.EndpointsListed listed) {
            table.update(listed.endpoints()).forEach(runner::dispatchQueued);
        } else if (event instanceof Event.ConfigAdopted applied) {
            onConfigApplied(applied.config());
        } else if (event instanceof Event.ShutdownRequested shutdown) {
            onShutdown(shutdown.rejectQueued());
        } else if (event instanceof Event.Task task) {
            task.action().run();
        } else if (event instanceof Event.StatusRequested status) {
            status.receiver().accept(toSnapshot());
        }
    }

    // -----------------------------------------------------------------------

    private void onRequestArrived(CallerRequest request, CallerPort caller) {
        counters.add(Counters.Name.REQUESTS);
        IdempotencyTable.Entry existing = idempotency.find(request, timers.now());
        if (existing != null) {
            join(existing, request, caller);
            return;
        }
        long number = nextRequestNumber++;
        ActiveRequest active = new ActiveRequest(number, instance + "-" + number, request, caller, timers.now());
        if (draining) {
            abort(active, ErrorCode.SHUTTING_DOWN, "the instance is shutting down");
        } else if (request.deadlineNanos() <= timers.now()) {
            abort(active, ErrorCode.DEADLINE_PASSED, "the deadline had passed on arrival");
        } else if (!workspaceCounts.tryAcquire(request.workspace())) {
            String workspace = request.workspace().name();
            abort(active, ErrorCode.WORKSPACE_LIMIT, "workspace " + workspace + " is at its concurrency limit");
        } else {
            admit(active);
        }
    }

    private void admit(ActiveRequest active) {
        requests.add(active);
        queues.onAdmitted(active);
        idempotency.onStarted(active);
        long now = timers.now();
        double work = estimates.getWorkNanos(active.pipeline(), 0, ADMIT_DEVIATIONS, now);
        double wait = queues.getWaitNanos(active.pipeline(), active.request.priority(), now);
        if (!policies.admission().isAdmitted(active.remainingNanos(now), work, wait)) {
            String detail = "expected wait " + (long) wait / NANOS_PER_MILLI + " ms and work "
                    + (long) work / NANOS_PER_MILLI + " ms";
            abort(active, ErrorCode.OVERLOADED, detail);
            return;
        }
        active.deadlineTimer = timers.schedule(active.request.deadlineNanos(), () -> onDeadline(active));
        if (active.pipeline().isIdempotent()) {
            runner.start(active);
        } else {
            active.claimed = true;
            claims.claim(toClaimKey(active), active.id, active.request.body(), result -> onClaimed(active, result));
        }
    }

    private static String toClaimKey(ActiveRequest active) {
        CallerRequest request = active.request;
        return request.workspace().name() + "/" + request.pipeline().name() + "/" + request.idempotencyKey();
    }

    private void onClaimed(ActiveRequest active, ClaimResult result) {
        if (active.done) {
            return;
        }
        switch (result.status()) {
            case GRANTED:
                runner.start(active);
                break;
            case HELD:
                active.nonRepeatableEffect = true;
                active.claimed = false;
                abort(active, ErrorCode.CLAIM_ELSEWHERE, "another instance has taken a request with this key");
                break;
            case OTHER_BODY:
                active.claimed = false;
                abort(active, ErrorCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used with another body");
                break;
            default:
                abort(active, ErrorCode.STORE_UNAVAILABLE, "the idempotency key can't be claimed at present");
                break;
        }
    }

    private void join(IdempotencyTable.Entry existing, CallerRequest request, CallerPort caller) {
        counters.add(Counters.Name.JOINED);
        RequestResult result = existing.getResult();
        if (!existing.hasBody(request.body())) {
            caller.finish(RequestResult.withoutResponse(
                    existing.active.id,
                    Outcome.NOT_RUN,
                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                    "the idempotency key was used with another body",
                    0));
        } else if (result != null) {
            caller.finish(result);
        } else {
            requests.addCaller(existing.active, caller);
        }
    }

    private void onDeadline(ActiveRequest active) {
        if (!active.done) {
            String stage = active.stageSpec().name();
            abort(active, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed during stage " + stage);
        }
    }

    private void onCallerLeft(CallerPort caller) {
        ActiveRequest active = requests.getByCaller(caller);
        if (active == null) {
            return;
        }
        // A request with an idempotency key continues, since its caller may reconnect for the response.
        if (active.callers.size() > 1 || !active.request.idempotencyKey().isEmpty()) {
            requests.removeCaller(active, caller);
            return;
        }
        abort(active, ErrorCode.CALLER_LEFT, "the caller closed its connection");
    }

    private void applyToOpenAttempt(AttemptId id, java.util.function.BiConsumer<ActiveRequest, Attempt> action) {
        ActiveRequest active = id.instance().equals(instance) ? requests.get(id.request()) : null;
        Attempt attempt = active == null ? null : active.findOpenAttempt(id, rules);
        if (active == null || attempt == null) {
            counters.add(Counters.Name.STALE_ANSWERS_DROPPED);
            return;
        }
        action.accept(active, attempt);
    }

    // -----------------------------------------------------------------------

    private void onLoadReported(Event.LoadReported report) {
        EndpointState state = table.getEndpoint(report.endpoint());
        if (state == null) {
            return;
        }
        state.onReport(report.running(), report.waiting(), report.slots(), timers.now());
        table.getPool(state.getEndpoint().service()).onReport(state);
        if (report.leaving()) {
            state.onLeaving();
        }
        runner.dispatchQueued(state.getEndpoint().service());
    }

    private void onCacheChanged(Event.CacheChanged change) {
        EndpointState state = table.getEndpoint(change.endpoint());
        if (state != null && !state.onCacheEvent(change.sequence(), change.prefixKey(), change.present())) {
            counters.add(Counters.Name.CACHE_GAPS);
        }
    }

    private void onConfigApplied(ServingConfig config) {
        if (rules.isNewer(revision, config.revision())) {
            revision = config.revision();
        }
    }

    private void onShutdown(boolean rejectQueued) {
        boolean newlyDraining = !draining;
        draining = true;
        if (rejectQueued) {
            for (ActiveRequest active : requests.toList()) {
                if (active.queued) {
                    abort(active, ErrorCode.SHUTTING_DOWN, "the instance is shutting down");
                }
            }
        }
        if (newlyDraining && requests.size() == 0) {
            onDrained.run();
        }
    }

    private void tick() {
        timers.schedule(timers.now() + TICK_NANOS, this::tick);
        runner.tick();
    }

    // -----------------------------------------------------------------------

    private void abort(ActiveRequest active, ErrorCode code, String detail) {
        Outcome outcome = active.getOutcomeWithoutResponse(rules);
        long retryAfter = outcome == Outcome.UNKNOWN ? 0 : MIN_RETRY_AFTER_MILLIS;
        finish(active, RequestResult.withoutResponse(active.id, outcome, code, detail, retryAfter));
    }

    // The only method that sets the outcome of a request.
    private void finish(ActiveRequest active, RequestResult result) {
        if (active.done) {
            return;
        }
        active.done = true;
        active.cancelStageTimer();
        if (active.deadlineTimer != null) {
            active.deadlineTimer.cancel();
        }
        if (active.queued) {
            queues.get(active.stageSpec().service()).queue().remove(active);
        }
        boolean admitted = requests.get(active.number) == active;
        List<CallerPort> callers = List.copyOf(active.callers);
        requests.remove(active);
        idempotency.onEnded(active, result, timers.now());
        counters.add(Counters.Name.valueOf(result.outcome().name()));
        callers.forEach(caller -> caller.finish(result));
        runner.cancelOpenAttempts(active);
        log.record(toEntry(active, result));
        if (active.claimed && (result.outcome() == Outcome.NOT_RUN || result.outcome() == Outcome.FAILED)) {
            claims.release(toClaimKey(active), active.id);
        }
        if (admitted) {
            queues.onEnded(active);
            workspaceCounts.release(active.request.workspace());
            onCapacityFreed(active);
        }
    }

    private void onCapacityFreed(ActiveRequest active) {
        if (active.stage < active.pipeline().stages().size()) {
            runner.dispatchQueued(active.stageSpec().service());
        }
        if (draining && requests.size() == 0) {
            onDrained.run();
        }
    }

    private RequestLog.Entry toEntry(ActiveRequest active, RequestResult result) {
        ErrorCode code = result.code();
        return new RequestLog.Entry(
                active.id,
                active.pipeline().name(),
                active.request.workspace().name(),
                result.outcome(),
                code == null ? "" : code.getWireName(),
                (timers.now() - active.arrivedNanos) / NANOS_PER_MICRO,
                List.copyOf(active.attemptHistory));
    }

    private StatusSnapshot toSnapshot() {
        List<StatusSnapshot.EndpointView> endpoints = new ArrayList<>();
        for (EndpointState state : table.getEndpoints()) {
            endpoints.add(toView(state));
        }
        endpoints.sort((a, b) -> a.name().compareTo(b.name()));
        return new StatusSnapshot(
                instance, revision, requests.size(), queues.getSize(), draining, counters.toList(), endpoints);
    }

    private static StatusSnapshot.EndpointView toView(EndpointState state) {
        String stateName = state.isLeaving() ? "leaving" : state.isEjected() ? "ejected" : "live";
        return new StatusSnapshot.EndpointView(
                state.getEndpoint().name(),
                state.getEndpoint().service(),
                state.getEndpoint().zone(),
                stateName.toLowerCase(Locale.ROOT),
                state.getInFlight(),
                state.getLoad().getReportedCalls(),
                state.getServiceTime().getMean() / NANOS_PER_MILLI);
    }

    /** Completes requests on behalf of the stage runner. */
    private final class CompletionHandler implements StageRunner.RequestCompletion {
        @Override
        public void complete(ActiveRequest active, Payload response) {
            finish(active, RequestResult.answered(active.id, response));
        }

        @Override
        public void abort(ActiveRequest active, ErrorCode code, String detail) {
            InstanceDecisions.this.abort(active, code, detail);
        }
    }
}
