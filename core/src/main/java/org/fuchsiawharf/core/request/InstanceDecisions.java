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
 * Every decision of one entry instance, from an event to the calls and answers it leads to.
 *
 * <p>Reads no clock and no random source of its own, so the same events at the same times lead to the same
 * decisions. Each request gets exactly one outcome, decided here.
 *
 * <pre>
 * InstanceDecisions decisions = new InstanceDecisions("lim-a-1", "lim-a", policies, ports, onDrained, 0);
 * decisions.process(new Event.RequestArrived(request, caller), clock.nanos());
 * </pre>
 *
 * <p>Confined to one thread, but for {@link #getCounters}.
 */
public final class InstanceDecisions implements EventProcessor {
    /**
     * The ways out of the decisions.
     *
     * @param endpoints sends calls
     * @param claims claims idempotency keys
     * @param log receives a record for each ended request
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
    private final WorkspaceCounts workspaces = new WorkspaceCounts();
    private final StageRunner runner;
    private long revision;
    private long nextNumber = 1;
    private boolean draining;

    /**
     * Creates the decisions of an instance that knows nothing yet.
     *
     * @param instance the instance's name, unique among running instances, not null
     * @param zone its availability zone, not null
     * @param policies the policies, not null
     * @param ports its ways out, not null
     * @param onDrained runs once when the instance was told to stop and no request is left, not null
     * @param startNanos the time
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
     * Creates the decisions upon a given state.
     *
     * @param instance the instance's name, not null
     * @param policies the policies, not null
     * @param ports its ways out, not null
     * @param onDrained runs once when no request is left after a stop, not null
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
        this.runner = new StageRunner(state, policies, ports.endpoints(), new End());
        timers.schedule(timers.now() + TICK_NANOS, this::tick);
    }

    // -----------------------------------------------------------------------

    /**
     * Gets the counters.
     *
     * @return the counters, never null, readable from any thread
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
            onArrived(arrived.request(), arrived.caller());
        } else if (event instanceof Event.TokenReceived token) {
            withAttempt(token.id(), (active, attempt) -> runner.onToken(active, attempt, token));
        } else if (event instanceof Event.CallCompleted completed) {
            withAttempt(completed.id(), (active, attempt) -> runner.onCompleted(active, attempt, completed));
        } else if (event instanceof Event.CallFailed failed) {
            withAttempt(
                    failed.id(), (active, attempt) -> runner.fail(active, attempt, failed.failure(), failed.detail()));
        } else if (event instanceof Event.CallerLeft left) {
            onCallerLeft(left.caller());
        } else {
            processState(event);
        }
    }

    private void processState(Event event) {
        if (event instanceof Event.LoadReported report) {
            onLoad(report);
        } else if (event instanceof Event.CacheChanged change) {
            onCache(change);
        } else if (event instanceof Event.EndpointsListed listed) {
            table.update(listed.endpoints()).forEach(runner::pump);
        } else if (event instanceof Event.ConfigAdopted adopted) {
            onConfig(adopted.config());
        } else if (event instanceof Event.ShutdownRequested shutdown) {
            onShutdown(shutdown.refuseQueued());
        } else if (event instanceof Event.Task task) {
            task.action().run();
        } else if (event instanceof Event.StatusRequested status) {
            status.receiver().accept(toSnapshot());
        }
    }

    // -----------------------------------------------------------------------

    private void onArrived(CallerRequest request, CallerPort caller) {
        counters.add(Counters.Name.REQUESTS);
        IdempotencyTable.Entry known = idempotency.find(request, timers.now());
        if (known != null) {
            join(known, request, caller);
            return;
        }
        long number = nextNumber++;
        ActiveRequest active = new ActiveRequest(number, instance + "-" + number, request, caller, timers.now());
        if (draining) {
            refuse(active, ErrorCode.SHUTTING_DOWN, "the instance is shutting down");
        } else if (request.deadlineNanos() <= timers.now()) {
            refuse(active, ErrorCode.DEADLINE_PASSED, "the deadline had passed on arrival");
        } else if (!workspaces.tryAcquire(request.workspace())) {
            String workspace = request.workspace().name();
            refuse(active, ErrorCode.WORKSPACE_LIMIT, "workspace " + workspace + " is at its concurrency limit");
        } else {
            admit(active);
        }
    }

    private void admit(ActiveRequest active) {
        requests.add(active);
        queues.onAdmitted(active);
        idempotency.onStarted(active);
        long now = timers.now();
        double work = estimates.getWork(active.pipeline(), 0, ADMIT_DEVIATIONS, now);
        double wait = queues.getWaitNanos(active.pipeline(), active.request.priority(), now);
        if (!policies.admission().isAdmitted(active.remainingNanos(now), work, wait)) {
            String detail = "expected wait " + (long) wait / NANOS_PER_MILLI + " ms and work "
                    + (long) work / NANOS_PER_MILLI + " ms";
            refuse(active, ErrorCode.OVERLOADED, detail);
            return;
        }
        active.deadlineTimer = timers.schedule(active.request.deadlineNanos(), () -> onDeadline(active));
        if (active.pipeline().isIdempotent()) {
            runner.start(active);
        } else {
            active.claimed = true;
            claims.claim(claimKey(active), active.id, active.request.body(), result -> onClaimed(active, result));
        }
    }

    private static String claimKey(ActiveRequest active) {
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
                active.unsafeEffect = true;
                active.claimed = false;
                refuse(active, ErrorCode.CLAIM_ELSEWHERE, "another instance has taken a request with this key");
                break;
            case OTHER_BODY:
                active.claimed = false;
                refuse(active, ErrorCode.IDEMPOTENCY_KEY_REUSED, "the idempotency key was used with another body");
                break;
            default:
                refuse(active, ErrorCode.STORE_UNAVAILABLE, "the idempotency key can't be claimed at present");
                break;
        }
    }

    private void join(IdempotencyTable.Entry known, CallerRequest request, CallerPort caller) {
        counters.add(Counters.Name.JOINED);
        RequestResult result = known.getResult();
        if (!known.hasBody(request.body())) {
            caller.finish(RequestResult.refused(
                    known.active.id,
                    Outcome.NOT_RUN,
                    ErrorCode.IDEMPOTENCY_KEY_REUSED,
                    "the idempotency key was used with another body",
                    0));
        } else if (result != null) {
            caller.finish(result);
        } else {
            requests.addCaller(known.active, caller);
        }
    }

    private void onDeadline(ActiveRequest active) {
        if (!active.done) {
            String stage = active.stageSpec().name();
            refuse(active, ErrorCode.DEADLINE_EXCEEDED, "the deadline passed during stage " + stage);
        }
    }

    private void onCallerLeft(CallerPort caller) {
        ActiveRequest active = requests.getByCaller(caller);
        if (active == null) {
            return;
        }
        // A keyed request goes on: its caller may come back for the answer.
        if (active.callers.size() > 1 || !active.request.idempotencyKey().isEmpty()) {
            requests.removeCaller(active, caller);
            return;
        }
        refuse(active, ErrorCode.CALLER_LEFT, "the caller closed its connection");
    }

    private void withAttempt(AttemptId id, java.util.function.BiConsumer<ActiveRequest, Attempt> action) {
        ActiveRequest active = id.instance().equals(instance) ? requests.get(id.request()) : null;
        Attempt attempt = active == null ? null : active.findOpen(id, rules);
        if (active == null || attempt == null) {
            counters.add(Counters.Name.STALE_ANSWERS_DROPPED);
            return;
        }
        action.accept(active, attempt);
    }

    // -----------------------------------------------------------------------

    private void onLoad(Event.LoadReported report) {
        EndpointState state = table.getEndpoint(report.endpoint());
        if (state == null) {
            return;
        }
        state.onReport(report.running(), report.waiting(), report.slots());
        table.getPool(state.getEndpoint().service()).onReport(state);
        if (report.leaving()) {
            state.onLeaving();
        }
        runner.pump(state.getEndpoint().service());
    }

    private void onCache(Event.CacheChanged change) {
        EndpointState state = table.getEndpoint(change.endpoint());
        if (state != null && !state.onCacheEvent(change.sequence(), change.prefixKey(), change.present())) {
            counters.add(Counters.Name.CACHE_GAPS);
        }
    }

    private void onConfig(ServingConfig config) {
        if (rules.isNewer(revision, config.revision())) {
            revision = config.revision();
        }
    }

    private void onShutdown(boolean refuseQueued) {
        boolean first = !draining;
        draining = true;
        if (refuseQueued) {
            for (ActiveRequest active : requests.toList()) {
                if (active.queued) {
                    refuse(active, ErrorCode.SHUTTING_DOWN, "the instance is shutting down");
                }
            }
        }
        if (first && requests.size() == 0) {
            onDrained.run();
        }
    }

    private void tick() {
        timers.schedule(timers.now() + TICK_NANOS, this::tick);
        runner.tick();
    }

    // -----------------------------------------------------------------------

    private void refuse(ActiveRequest active, ErrorCode code, String detail) {
        Outcome outcome = active.outcomeWithoutAnswer(rules);
        long retryAfter = outcome == Outcome.UNKNOWN ? 0 : MIN_RETRY_AFTER_MILLIS;
        finish(active, RequestResult.refused(active.id, outcome, code, detail, retryAfter));
    }

    // The one place where a request gets its outcome.
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
        runner.cancelOpen(active);
        log.record(toEntry(active, result));
        if (active.claimed && (result.outcome() == Outcome.NOT_RUN || result.outcome() == Outcome.FAILED)) {
            claims.release(claimKey(active), active.id);
        }
        if (admitted) {
            queues.onEnded(active);
            workspaces.release(active.request.workspace());
            onFreed(active);
        }
    }

    private void onFreed(ActiveRequest active) {
        if (active.stage < active.pipeline().stages().size()) {
            runner.pump(active.stageSpec().service());
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
                List.copyOf(active.history));
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
        String phase = state.isLeaving() ? "leaving" : state.isEjected() ? "ejected" : "live";
        return new StatusSnapshot.EndpointView(
                state.getEndpoint().name(),
                state.getEndpoint().service(),
                state.getEndpoint().zone(),
                phase.toLowerCase(Locale.ROOT),
                state.getInFlight(),
                state.getReported(),
                state.getService().getMean() / NANOS_PER_MILLI);
    }

    /** Ends requests for the stage runner. */
    private final class End implements StageRunner.RequestEnd {
        @Override
        public void answer(ActiveRequest active, Payload answer) {
            finish(active, RequestResult.answered(active.id, answer));
        }

        @Override
        public void refuse(ActiveRequest active, ErrorCode code, String detail) {
            InstanceDecisions.this.refuse(active, code, detail);
        }
    }
}
