package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.model.Workspace;
import org.fuchsiawharf.core.port.AttemptId;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.CallerRequest;
import org.fuchsiawharf.core.port.ClaimPort;
import org.fuchsiawharf.core.port.EndpointPort;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.RequestLog;
import org.fuchsiawharf.core.port.RequestResult;
import org.fuchsiawharf.core.port.StageCall;

/** A fixture that runs the decisions of an instance on virtual time with recording fakes. */
final class DecisionHarness implements EndpointPort {
    static final long MILLI = 1_000_000;
    static final Workspace WORKSPACE = new Workspace("learners", 1, 100, Priority.NORMAL);

    final List<StageCall> calls = new ArrayList<>();
    final List<AttemptId> cancelled = new ArrayList<>();
    final List<RequestLog.Entry> log = new ArrayList<>();
    final Map<String, Endpoint> endpoints = new LinkedHashMap<>();
    final InstanceDecisions decisions;
    boolean drained;
    long now;

    DecisionHarness(PolicySet policies) {
        this(policies, ClaimPort.GRANT_ALL);
    }

    DecisionHarness(PolicySet policies, ClaimPort claims) {
        decisions = new InstanceDecisions(
                "i1", "a", policies, new InstanceDecisions.Ports(this, claims, log::add), () -> drained = true, 0);
    }

    static DecisionHarness withAttainmentPolicies() {
        return new DecisionHarness(PolicySet.of(Objective.ATTAINMENT, new SplittableRandom(1)));
    }

    static Pipeline twoStagePipeline(boolean lastRepeatable) {
        return new Pipeline(
                lastRepeatable ? "feedback" : "assessment",
                List.of(
                        new StageSpec("encode", "encoder", true, false),
                        new StageSpec("generate", "llm", lastRepeatable, true)));
    }

    static Pipeline singleStagePipeline(boolean repeatable) {
        return new Pipeline("charge", List.of(new StageSpec("charge", "billing", repeatable, false)));
    }

    /** A fake caller that records its tokens and results. */
    static final class Caller implements CallerPort {
        final List<RequestResult> results = new ArrayList<>();
        final StringBuilder text = new StringBuilder();

        @Override
        public void sendToken(long offset, String token) {
            text.append(token);
        }

        @Override
        public void finish(RequestResult result) {
            results.add(result);
        }

        RequestResult onlyResult() {
            if (results.size() != 1) {
                throw new AssertionError("results " + results);
            }
            return results.get(0);
        }
    }

    DecisionHarness withEndpoints(String... names) {
        for (String name : names) {
            String service = name.substring(0, name.lastIndexOf('-'));
            endpoints.put(name, new Endpoint(name, service, "a", "127.0.0.1", 1000 + endpoints.size()));
        }
        publishEndpoints();
        return this;
    }

    void publishEndpoints(String... leaving) {
        List<String> leavingNames = List.of(leaving);
        send(new Event.EndpointsListed(endpoints.values().stream()
                .map(endpoint -> new EndpointStatus(endpoint, leavingNames.contains(endpoint.name())))
                .toList()));
    }

    Caller request(Pipeline pipeline, long deadlineMillis, String key) {
        Caller caller = new Caller();
        request(pipeline, deadlineMillis, key, "{}", caller);
        return caller;
    }

    void request(Pipeline pipeline, long deadlineMillis, String key, String body, CallerPort caller) {
        CallerRequest request = new CallerRequest(
                pipeline, WORKSPACE, Priority.NORMAL, key, 0, now + deadlineMillis * MILLI, Payload.ofJson(body));
        send(new Event.RequestArrived(request, caller));
    }

    void send(Event event) {
        decisions.process(event, now);
    }

    void advance(long millis) {
        long end = now + millis * MILLI;
        while (decisions.getNextDue() <= end) {
            now = Math.max(now, decisions.getNextDue());
            send(new Event.TimerDue());
        }
        now = end;
        send(new Event.TimerDue());
    }

    StageCall lastCall() {
        return calls.get(calls.size() - 1);
    }

    void respond(StageCall call) {
        send(new Event.CallCompleted(
                call.id(), Payload.ofJson("{\"stage\":\"" + call.stage().name() + "\"}"), 0));
    }

    void fail(StageCall call, CallFailure failure) {
        send(new Event.CallFailed(call.id(), failure, "test"));
    }

    void sendTokens(StageCall call, int from, int to) {
        for (int i = from; i < to; i++) {
            send(new Event.TokenReceived(call.id(), i, "t" + i + " "));
        }
    }

    void completeStream(StageCall call, int tokens) {
        send(new Event.CallCompleted(call.id(), Payload.NULL, tokens));
    }

    long count(Counters.Name name) {
        return decisions.getCounters().get(name);
    }

    @Override
    public void call(StageCall call) {
        calls.add(call);
    }

    @Override
    public void cancel(AttemptId id, Endpoint endpoint) {
        cancelled.add(id);
    }
}
