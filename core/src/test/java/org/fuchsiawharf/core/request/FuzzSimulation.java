package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.fuchsiawharf.core.claims.Claim;
import org.fuchsiawharf.core.claims.ClaimResult;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.ServingConfig;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.model.Workspace;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.ClaimPort;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.StageCall;

/**
 * Simulates one instance with random requests, endpoint behaviour and failures on virtual time.
 *
 * <p>Acts as the endpoints and the callers and reports their observations to the oracle. Independent of the
 * implementation of the decisions.
 */
final class FuzzSimulation implements EndpointPort {
    private static final long MILLI = 1_000_000;
    private static final int TOKENS = 4;
    private static final List<Pipeline> PIPELINES = List.of(
            new Pipeline(
                    "feedback",
                    List.of(
                            new StageSpec("encode", "encoder", true, false),
                            new StageSpec("generate", "llm", true, true))),
            new Pipeline(
                    "assessment",
                    List.of(
                            new StageSpec("encode", "encoder", true, false),
                            new StageSpec("verdict", "llm", false, true))),
            new Pipeline("charge", List.of(new StageSpec("charge", "billing", false, false))),
            new Pipeline(
                    "order",
                    List.of(
                            new StageSpec("charge", "billing", false, false),
                            new StageSpec("encode", "encoder", true, false))));

    /** Faults of the simulation itself, which the oracle must detect. */
    enum Fault {
        NONE,
        /** Reports a lost response as a call that was not sent. */
        LOST_READS_AS_NOT_SENT,
        /** Delivers a response under the identifier of a random open attempt. */
        ANSWERS_CROSS,
        /** Keeps the instance's clock at 0 and fires no timers. */
        TIMERS_STOP,
        /** Does not report leaving endpoints to the instance. */
        LEAVING_IS_HIDDEN
    }

    private static final class Run {
        private final StageCall call;
        private final boolean ran;
        private long nextTokenOffset;
        private boolean ended;
        private boolean cancelled;

        private Run(StageCall call, boolean ran) {
            this.call = call;
            this.ran = ran;
            this.nextTokenOffset = call.offset();
        }
    }

    final Oracle oracle = new Oracle();
    final StringBuilder trace = new StringBuilder();
    private final SplittableRandom random;
    private final Fault fault;
    private final InstanceDecisions decisions;
    private final List<Run> openRuns = new ArrayList<>();
    private final List<Run> endedRuns = new ArrayList<>();
    private final Map<AttemptId, Run> runsByAttemptId = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<String> leaving = new ArrayList<>();
    private final List<Runnable> pendingClaims = new ArrayList<>();
    private final List<Oracle.Caller> callers = new ArrayList<>();
    private final Map<Oracle.Caller, CallerPort> ports = new LinkedHashMap<>();
    private long now;
    private long revision;
    private int nextRequest;

    FuzzSimulation(long seed, SafetyRules rules, Fault fault) {
        this.random = new SplittableRandom(seed);
        this.fault = fault;
        Objective objective = random.nextBoolean() ? Objective.ATTAINMENT : Objective.COST;
        PolicySet policies = random.nextInt(4) == 0 ? PolicySet.baseline() : PolicySet.of(objective, random.split());
        DecisionState state = DecisionState.of("i1", "a", policies, 0, rules);
        this.decisions = new InstanceDecisions(
                "i1", policies, new InstanceDecisions.Ports(this, new FuzzClaims(), entry -> {}), () -> {}, state);
        for (String service : List.of("encoder", "llm", "billing")) {
            for (int i = 1; i <= 3; i++) {
                String name = service + "-" + i;
                endpoints.put(
                        name, new Endpoint(name, service, i == 1 ? "a" : "b", "127.0.0.1", 1000 + endpoints.size()));
            }
        }
        publishEndpoints();
    }

    /**
     * Runs random steps, then advances the time by 20 s, in which every request must end, and checks the final state.
     *
     * @param steps the number of steps
     */
    void run(int steps) {
        for (int i = 0; i < steps; i++) {
            step();
        }
        for (int i = 0; i < 100; i++) {
            advance(200);
        }
        oracle.checkAllOutcomesReceived();
        process(new Event.StatusRequested(status -> {
            oracle.check(status.active() == 0, "active requests are left: " + status.active());
            oracle.check(status.queued() == 0, "queued requests are left: " + status.queued());
            status.endpoints().forEach(e -> oracle.check(e.inFlight() == 0, "open calls are left at " + e.name()));
            oracle.check(status.revision() == revision, "revision " + status.revision() + " after " + revision);
        }));
    }

    private void step() {
        int draw = random.nextInt(100);
        if (draw < 18) {
            sendRequest();
        } else if (draw < 62 && !openRuns.isEmpty()) {
            progressRun(openRuns.get(random.nextInt(openRuns.size())));
        } else if (draw < 72 && !endedRuns.isEmpty()) {
            sendLateResponse(endedRuns.get(random.nextInt(endedRuns.size())));
        } else if (draw < 88) {
            advance(random.nextInt(1, 60));
        } else if (draw < 91 && !callers.isEmpty()) {
            disconnectCaller(callers.get(random.nextInt(callers.size())));
        } else if (draw < 93) {
            markEndpointLeaving();
        } else if (draw < 96) {
            reportLoad();
        } else if (draw < 98) {
            offerConfig();
        } else {
            advance(random.nextInt(200, 1_500));
        }
    }

    /** A fake claim port whose results are granted, held or unavailable, delivered immediately or later. */
    private final class FuzzClaims implements ClaimPort {
        @Override
        public void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver) {
            int draw = random.nextInt(10);
            ClaimResult result = draw < 8
                    ? ClaimResult.granted()
                    : draw == 8 ? ClaimResult.unavailable() : ClaimResult.held(new Claim(key, "i2", "r", "h", 0));
            recordTrace("claim " + key + " " + result.status());
            if (random.nextBoolean()) {
                receiver.accept(result);
            } else {
                pendingClaims.add(() -> receiver.accept(result));
            }
        }

        @Override
        public void release(String key, String request) {}
    }

    private void completeClaims() {
        List<Runnable> results = List.copyOf(pendingClaims);
        pendingClaims.clear();
        results.forEach(result -> process(new Event.Task(result)));
    }

    // -----------------------------------------------------------------------

    private void sendRequest() {
        Pipeline pipeline = PIPELINES.get(random.nextInt(PIPELINES.size()));
        boolean repeated = random.nextInt(5) == 0 && nextRequest > 0;
        int number = repeated ? random.nextInt(nextRequest) : nextRequest++;
        if (repeated) {
            pipeline = oracle.pipelineOf(number);
        }
        boolean keyed = !pipeline.isIdempotent() || random.nextInt(3) == 0;
        String nonce = "n" + number;
        Oracle.Caller caller = oracle.onRequest(number, nonce, pipeline);
        CallerPort port = oracle.portOf(caller);
        callers.add(caller);
        ports.put(caller, port);
        CallerRequest request = new CallerRequest(
                pipeline,
                new Workspace("w" + number % 3, 1 + number % 3, 6, Priority.NORMAL),
                Priority.values()[random.nextInt(3)],
                keyed ? "key" + number : "",
                random.nextInt(3),
                now + random.nextLong(50, 3_000) * MILLI,
                Payload.ofJson("\"" + nonce + "\""));
        recordTrace("arrive " + nonce + " " + pipeline.name());
        process(new Event.RequestArrived(request, port));
    }

    private void disconnectCaller(Oracle.Caller caller) {
        CallerPort port = ports.get(caller);
        if (port != null) {
            recordTrace("caller disconnects " + caller);
            oracle.onCallerDisconnected(caller);
            process(new Event.CallerLeft(port));
        }
    }

    @Override
    public void call(StageCall call) {
        String nonce = call.input().toString().replace("\"", "");
        if (call.reconnect()) {
            Run known = runsByAttemptId.get(call.id());
            recordTrace("rejoin " + call.id() + " known " + (known != null));
            Run rejoined = new Run(call, known != null);
            openRuns.add(rejoined);
            return;
        }
        oracle.check(
                !oracle.isLeaving(call.endpoint().name()),
                "call sent to leaving endpoint " + call.endpoint().name());
        boolean misrouted = !call.previous().equals(Payload.NULL)
                && !call.previous().toString().contains(nonce + "!");
        oracle.check(!misrouted, "stage of " + nonce + " received " + call.previous());
        boolean runs = random.nextInt(10) > 0;
        recordTrace("call " + call.id() + " " + call.stage().name() + " at "
                + call.endpoint().name() + " runs " + runs);
        if (runs) {
            oracle.onRun(nonce, call.stage());
        }
        Run run = new Run(call, runs);
        openRuns.add(run);
        if (runs) {
            runsByAttemptId.put(call.id(), run);
        }
    }

    @Override
    public void cancel(AttemptId id, Endpoint endpoint) {
        recordTrace("cancel " + id);
        for (Run run : openRuns) {
            if (run.call.id().equals(id)) {
                run.cancelled = true;
                endedRuns.add(run);
            }
        }
        openRuns.removeIf(run -> run.cancelled);
    }

    // -----------------------------------------------------------------------

    private void progressRun(Run run) {
        if (!run.ran) {
            CallFailure failure = run.call.reconnect()
                    ? (random.nextBoolean() ? CallFailure.RUN_GONE : CallFailure.NOT_SENT)
                    : randomFailure(CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.LEAVING);
            endRun(run, new Event.CallFailed(run.call.id(), failure, "fuzz"));
        } else if (random.nextInt(6) == 0) {
            CallFailure failure = randomFailure(CallFailure.LOST, CallFailure.GARBAGE, CallFailure.ERROR);
            if (fault == Fault.LOST_READS_AS_NOT_SENT) {
                failure = CallFailure.NOT_SENT;
            }
            endRun(run, new Event.CallFailed(run.call.id(), failure, "fuzz"));
        } else if (run.call.stage().streaming() && run.nextTokenOffset < TOKENS) {
            long offset = run.nextTokenOffset++;
            if (random.nextInt(8) == 0) {
                offset = random.nextLong(0, TOKENS);
            }
            recordTrace("token " + run.call.id() + " " + offset);
            process(new Event.TokenReceived(run.call.id(), offset, nonceOf(run) + ":" + offset + " "));
        } else {
            endRun(run, response(run));
        }
    }

    private Event response(Run run) {
        AttemptId id = run.call.id();
        if (fault == Fault.ANSWERS_CROSS && openRuns.size() > 1) {
            id = openRuns.get(random.nextInt(openRuns.size())).call.id();
        }
        return response(run, id);
    }

    private Event response(Run run, AttemptId id) {
        if (run.call.stage().streaming()) {
            return new Event.CallCompleted(id, Payload.NULL, TOKENS);
        }
        return new Event.CallCompleted(id, Payload.ofJson("\"" + nonceOf(run) + "!\""), 0);
    }

    private static String nonceOf(Run run) {
        return run.call.input().toString().replace("\"", "");
    }

    private void endRun(Run run, Event event) {
        recordTrace("end " + event);
        run.ended = true;
        openRuns.remove(run);
        endedRuns.add(run);
        process(event);
    }

    // Sends a response after its call has ended, under its own identifier or a wrong one.
    private void sendLateResponse(Run run) {
        AttemptId id = run.call.id();
        if (random.nextBoolean()) {
            id = new AttemptId(id.instance(), id.request(), id.stage(), random.nextInt(1, 6));
        }
        if (id.equals(run.call.id()) && isOpen(id)) {
            return;
        }
        boolean isOpenId = isOpen(id);
        if (isOpenId) {
            return;
        }
        recordTrace("late response " + id);
        process(
                random.nextInt(3) > 0 || !run.call.stage().streaming()
                        ? response(run, id)
                        : new Event.TokenReceived(id, random.nextLong(0, TOKENS), "late "));
    }

    private boolean isOpen(AttemptId id) {
        return openRuns.stream().anyMatch(run -> run.call.id().equals(id));
    }

    // -----------------------------------------------------------------------

    private void markEndpointLeaving() {
        String name = List.copyOf(endpoints.keySet()).get(random.nextInt(endpoints.size()));
        recordTrace("mark endpoint leaving " + name);
        if (!leaving.contains(name) && leaving.size() < 4) {
            leaving.add(name);
            oracle.onLeaving(name);
            publishEndpoints();
        }
    }

    private void publishEndpoints() {
        boolean hidden = fault == Fault.LEAVING_IS_HIDDEN;
        process(new Event.EndpointsListed(endpoints.values().stream()
                .map(e -> new EndpointStatus(e, !hidden && leaving.contains(e.name())))
                .toList()));
    }

    private void reportLoad() {
        String name = List.copyOf(endpoints.keySet()).get(random.nextInt(endpoints.size()));
        process(new Event.LoadReported(name, random.nextInt(9), random.nextInt(9), 8, false));
        process(new Event.CacheChanged(name, random.nextInt(50), random.nextInt(3), random.nextBoolean()));
    }

    private void offerConfig() {
        long offered = Math.max(1, revision + random.nextInt(-2, 3));
        revision = Math.max(revision, offered);
        recordTrace("config " + offered);
        process(new Event.ConfigAdopted(new ServingConfig(offered, Map.of(), Map.of(), Map.of())));
        process(new Event.StatusRequested(status ->
                oracle.check(status.revision() == revision, "revision " + status.revision() + " after " + revision)));
    }

    private void advance(long millis) {
        completeClaims();
        now += millis * MILLI;
        if (fault != Fault.TIMERS_STOP) {
            process(new Event.TimerDue());
        }
    }

    private void process(Event event) {
        decisions.process(event, fault == Fault.TIMERS_STOP ? 0 : now);
    }

    private CallFailure randomFailure(CallFailure... failures) {
        return failures[random.nextInt(failures.length)];
    }

    private void recordTrace(String line) {
        trace.append(now / MILLI).append(" ms ").append(line).append('\n');
    }
}
