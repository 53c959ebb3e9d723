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
 * Drives one instance with random requests, endpoint behaviour and failures on virtual time.
 *
 * <p>Plays the endpoints and the callers, and tells the oracle what both saw. Knows nothing of how decisions are made.
 */
final class FuzzWorld implements EndpointPort {
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

    /** How the world itself is broken, to show that the oracle notices. */
    enum Break {
        NONE,
        /** Says that nothing was sent when the answer was lost. */
        LOST_READS_AS_NOT_SENT,
        /** Gives an answer to the open attempt of another request. */
        ANSWERS_CROSS,
        /** Never says that time passes. */
        TIMERS_STOP,
        /** Keeps the news that an endpoint leaves from the instance. */
        LEAVING_IS_HIDDEN
    }

    private static final class Run {
        private final StageCall call;
        private final boolean ran;
        private long produced;
        private boolean ended;
        private boolean cancelled;

        private Run(StageCall call, boolean ran) {
            this.call = call;
            this.ran = ran;
            this.produced = call.offset();
        }
    }

    final Oracle oracle = new Oracle();
    final StringBuilder trace = new StringBuilder();
    private final SplittableRandom random;
    private final Break broken;
    private final InstanceDecisions decisions;
    private final List<Run> open = new ArrayList<>();
    private final List<Run> over = new ArrayList<>();
    private final Map<AttemptId, Run> rejoinable = new LinkedHashMap<>();
    private final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    private final List<String> leaving = new ArrayList<>();
    private final List<Runnable> claimsUnderWay = new ArrayList<>();
    private final List<Oracle.Caller> callers = new ArrayList<>();
    private final Map<Oracle.Caller, CallerPort> ports = new LinkedHashMap<>();
    private long now;
    private long revision;
    private int nextRequest;

    FuzzWorld(long seed, SafetyRules rules, Break broken) {
        this.random = new SplittableRandom(seed);
        this.broken = broken;
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
        list();
    }

    /**
     * Runs random steps, then lets every request end.
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
        oracle.checkAllTold();
        send(new Event.StatusRequested(status -> {
            oracle.check(status.active() == 0, "active requests are left: " + status.active());
            oracle.check(status.queued() == 0, "queued requests are left: " + status.queued());
            status.endpoints().forEach(e -> oracle.check(e.inFlight() == 0, "open calls are left at " + e.name()));
            oracle.check(status.revision() == revision, "revision " + status.revision() + " after " + revision);
        }));
    }

    private void step() {
        int kind = random.nextInt(100);
        if (kind < 18) {
            arrive();
        } else if (kind < 62 && !open.isEmpty()) {
            progress(open.get(random.nextInt(open.size())));
        } else if (kind < 72 && !over.isEmpty()) {
            late(over.get(random.nextInt(over.size())));
        } else if (kind < 88) {
            advance(random.nextInt(1, 60));
        } else if (kind < 91 && !callers.isEmpty()) {
            leave(callers.get(random.nextInt(callers.size())));
        } else if (kind < 93) {
            leaveEndpoint();
        } else if (kind < 96) {
            report();
        } else if (kind < 98) {
            configure();
        } else {
            advance(random.nextInt(200, 1_500));
        }
    }

    /** Claims that are granted, held by another instance or unavailable, at once or later. */
    private final class FuzzClaims implements ClaimPort {
        @Override
        public void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver) {
            int kind = random.nextInt(10);
            ClaimResult result = kind < 8
                    ? ClaimResult.granted()
                    : kind == 8 ? ClaimResult.unavailable() : ClaimResult.held(new Claim(key, "i2", "r", "h", 0));
            note("claim " + key + " " + result.status());
            if (random.nextBoolean()) {
                receiver.accept(result);
            } else {
                claimsUnderWay.add(() -> receiver.accept(result));
            }
        }

        @Override
        public void release(String key, String request) {}
    }

    private void answerClaims() {
        List<Runnable> answers = List.copyOf(claimsUnderWay);
        claimsUnderWay.clear();
        answers.forEach(answer -> send(new Event.Task(answer)));
    }

    // -----------------------------------------------------------------------

    private void arrive() {
        Pipeline pipeline = PIPELINES.get(random.nextInt(PIPELINES.size()));
        boolean again = random.nextInt(5) == 0 && nextRequest > 0;
        int number = again ? random.nextInt(nextRequest) : nextRequest++;
        if (again) {
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
                Payload.parse("\"" + nonce + "\""));
        note("arrive " + nonce + " " + pipeline.name());
        send(new Event.RequestArrived(request, port));
    }

    private void leave(Oracle.Caller caller) {
        CallerPort port = ports.get(caller);
        if (port != null) {
            note("caller leaves " + caller);
            oracle.onLeft(caller);
            send(new Event.CallerLeft(port));
        }
    }

    @Override
    public void call(StageCall call) {
        String nonce = call.input().toString().replace("\"", "");
        if (call.reconnect()) {
            Run known = rejoinable.get(call.id());
            note("rejoin " + call.id() + " known " + (known != null));
            Run rejoined = new Run(call, known != null);
            open.add(rejoined);
            return;
        }
        oracle.check(
                !oracle.isToldLeaving(call.endpoint().name()),
                "new work for leaving " + call.endpoint().name());
        boolean crossed = !call.previous().equals(Payload.NULL)
                && !call.previous().toString().contains(nonce + "!");
        oracle.check(!crossed, "stage of " + nonce + " was given " + call.previous());
        boolean runs = random.nextInt(10) > 0;
        note("call " + call.id() + " " + call.stage().name() + " at "
                + call.endpoint().name() + " runs " + runs);
        if (runs) {
            oracle.onRun(nonce, call.stage());
        }
        Run run = new Run(call, runs);
        open.add(run);
        if (runs) {
            rejoinable.put(call.id(), run);
        }
    }

    @Override
    public void cancel(AttemptId id, Endpoint endpoint) {
        note("cancel " + id);
        for (Run run : open) {
            if (run.call.id().equals(id)) {
                run.cancelled = true;
                over.add(run);
            }
        }
        open.removeIf(run -> run.cancelled);
    }

    // -----------------------------------------------------------------------

    private void progress(Run run) {
        if (!run.ran) {
            CallFailure failure = run.call.reconnect()
                    ? (random.nextBoolean() ? CallFailure.RUN_GONE : CallFailure.NOT_SENT)
                    : pick(CallFailure.NOT_SENT, CallFailure.REFUSED, CallFailure.LEAVING);
            end(run, new Event.CallFailed(run.call.id(), failure, "fuzz"));
        } else if (random.nextInt(6) == 0) {
            CallFailure failure = pick(CallFailure.LOST, CallFailure.GARBAGE, CallFailure.ERROR);
            if (broken == Break.LOST_READS_AS_NOT_SENT) {
                failure = CallFailure.NOT_SENT;
            }
            end(run, new Event.CallFailed(run.call.id(), failure, "fuzz"));
        } else if (run.call.stage().streaming() && run.produced < TOKENS) {
            long offset = run.produced++;
            if (random.nextInt(8) == 0) {
                offset = random.nextLong(0, TOKENS);
            }
            note("token " + run.call.id() + " " + offset);
            send(new Event.TokenReceived(run.call.id(), offset, nonceOf(run) + ":" + offset + " "));
        } else {
            end(run, answer(run));
        }
    }

    private Event answer(Run run) {
        AttemptId id = run.call.id();
        if (broken == Break.ANSWERS_CROSS && open.size() > 1) {
            id = open.get(random.nextInt(open.size())).call.id();
        }
        return answer(run, id);
    }

    private Event answer(Run run, AttemptId id) {
        if (run.call.stage().streaming()) {
            return new Event.CallCompleted(id, Payload.NULL, TOKENS);
        }
        return new Event.CallCompleted(id, Payload.parse("\"" + nonceOf(run) + "!\""), 0);
    }

    private static String nonceOf(Run run) {
        return run.call.input().toString().replace("\"", "");
    }

    private void end(Run run, Event event) {
        note("end " + event);
        run.ended = true;
        open.remove(run);
        over.add(run);
        send(event);
    }

    // Answers that come after their call was over, under the same id or under a wrong one.
    private void late(Run run) {
        AttemptId id = run.call.id();
        if (random.nextBoolean()) {
            id = new AttemptId(id.instance(), id.request(), id.stage(), random.nextInt(1, 6));
        }
        if (id.equals(run.call.id()) && isOpen(id)) {
            return;
        }
        boolean namesOpenCall = isOpen(id);
        if (namesOpenCall) {
            return;
        }
        note("late answer " + id);
        send(
                random.nextInt(3) > 0 || !run.call.stage().streaming()
                        ? answer(run, id)
                        : new Event.TokenReceived(id, random.nextLong(0, TOKENS), "late "));
    }

    private boolean isOpen(AttemptId id) {
        return open.stream().anyMatch(run -> run.call.id().equals(id));
    }

    // -----------------------------------------------------------------------

    private void leaveEndpoint() {
        String name = List.copyOf(endpoints.keySet()).get(random.nextInt(endpoints.size()));
        note("leaves or returns " + name);
        if (!leaving.contains(name) && leaving.size() < 4) {
            leaving.add(name);
            oracle.onLeaving(name);
            list();
        }
    }

    private void list() {
        boolean hidden = broken == Break.LEAVING_IS_HIDDEN;
        send(new Event.EndpointsListed(endpoints.values().stream()
                .map(e -> new EndpointStatus(e, !hidden && leaving.contains(e.name())))
                .toList()));
    }

    private void report() {
        String name = List.copyOf(endpoints.keySet()).get(random.nextInt(endpoints.size()));
        send(new Event.LoadReported(name, random.nextInt(9), random.nextInt(9), 8, false));
        send(new Event.CacheChanged(name, random.nextInt(50), random.nextInt(3), random.nextBoolean()));
    }

    private void configure() {
        long offered = Math.max(1, revision + random.nextInt(-2, 3));
        revision = Math.max(revision, offered);
        note("config " + offered);
        send(new Event.ConfigAdopted(new ServingConfig(offered, Map.of(), Map.of(), Map.of())));
        send(new Event.StatusRequested(status ->
                oracle.check(status.revision() == revision, "revision " + status.revision() + " after " + revision)));
    }

    private void advance(long millis) {
        answerClaims();
        now += millis * MILLI;
        if (broken != Break.TIMERS_STOP) {
            send(new Event.TimerDue());
        }
    }

    private void send(Event event) {
        decisions.process(event, broken == Break.TIMERS_STOP ? 0 : now);
    }

    private CallFailure pick(CallFailure... failures) {
        return failures[random.nextInt(failures.length)];
    }

    private void note(String line) {
        trace.append(now / MILLI).append(" ms ").append(line).append('\n');
    }
}
