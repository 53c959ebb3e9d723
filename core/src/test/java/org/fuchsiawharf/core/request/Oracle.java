package org.fuchsiawharf.core.request;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;

import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.CallerPort;
import org.fuchsiawharf.core.port.RequestResult;
import org.jspecify.annotations.Nullable;

/**
 * Checks the safety guarantees against the stage runs of endpoints and the results received by callers.
 *
 * <p>Independent of the implementation.
 */
final class Oracle {
    final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Integer> nonRepeatableRuns = new HashMap<>();
    private final Map<Integer, Pipeline> pipelines = new HashMap<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Set<String> leaving = new HashSet<>();
    private final Map<String, Integer> requestCounts = new HashMap<>();

    /** The observations of one caller. */
    static final class Caller {
        private final String nonce;
        private final Pipeline pipeline;
        private final int number;
        private final int runsBefore;
        private final StringBuilder text = new StringBuilder();
        private @Nullable RequestResult result;
        private boolean disconnected;

        private Caller(String nonce, Pipeline pipeline, int number, int runsBefore) {
            this.nonce = nonce;
            this.pipeline = pipeline;
            this.number = number;
            this.runsBefore = runsBefore;
        }

        @Override
        public String toString() {
            return nonce + " (caller " + number + ")";
        }
    }

    void check(boolean holds, String violation) {
        if (!holds) {
            violations.add(violation);
        }
    }

    Pipeline pipelineOf(int request) {
        return Objects.requireNonNull(pipelines.get(request));
    }

    boolean isLeaving(String endpoint) {
        return leaving.contains(endpoint);
    }

    void onLeaving(String endpoint) {
        leaving.add(endpoint);
    }

    Caller onRequest(int request, String nonce, Pipeline pipeline) {
        pipelines.put(request, pipeline);
        requestCounts.merge(nonce, 1, Integer::sum);
        Caller caller = new Caller(nonce, pipeline, callers.size(), runs.getOrDefault(nonce, 0));
        callers.add(caller);
        return caller;
    }

    void onCallerDisconnected(Caller caller) {
        caller.disconnected = true;
    }

    void onRun(String nonce, StageSpec stage) {
        runs.merge(nonce, 1, Integer::sum);
        if (!stage.repeatable()) {
            int count = nonRepeatableRuns.merge(nonce + "/" + stage.name(), 1, Integer::sum);
            check(count == 1, "non-repeatable " + stage.name() + " of " + nonce + " ran " + count + " times");
        }
    }

    CallerPort portOf(Caller caller) {
        return new CallerPort() {
            @Override
            public void sendToken(long offset, String token) {
                check(caller.result == null, "token after completion for " + caller);
                caller.text.append(token);
            }

            @Override
            public void finish(RequestResult result) {
                check(caller.result == null, "two outcomes for " + caller + ": " + caller.result + ", " + result);
                caller.result = result;
                checkResult(caller, result);
            }
        };
    }

    void checkAllOutcomesReceived() {
        for (Caller caller : callers) {
            check(caller.result != null || caller.disconnected, "no outcome for " + caller);
        }
    }

    private void checkResult(Caller caller, RequestResult result) {
        boolean isOnlyRequest = requestCounts.getOrDefault(caller.nonce, 0) == 1;
        if (result.outcome() == Outcome.NOT_RUN && isOnlyRequest) {
            check(
                    runs.getOrDefault(caller.nonce, 0) == caller.runsBefore,
                    "outcome not run, but a stage ran: " + caller);
        }
        if (result.outcome() == Outcome.FAILED) {
            boolean nonRepeatableRan = caller.pipeline.stages().stream()
                    .filter(stage -> !stage.repeatable())
                    .anyMatch(stage -> nonRepeatableRuns.containsKey(caller.nonce + "/" + stage.name()));
            check(!nonRepeatableRan, "outcome failed, but a non-repeatable stage ran: " + caller);
        }
        if (result.outcome() == Outcome.ANSWERED) {
            checkResponse(caller, result.answer().toString());
        }
    }

    private void checkResponse(Caller caller, String response) {
        StageSpec last = caller.pipeline.stages().get(caller.pipeline.stages().size() - 1);
        String expected = "\"" + caller.nonce + "!\"";
        if (last.streaming()) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 4; i++) {
                text.append(caller.nonce).append(':').append(i).append(' ');
            }
            expected = "{\"text\":\"" + text + "\",\"tokens\":4}";
            boolean textMatches = caller.text.isEmpty() || text.toString().endsWith(caller.text.toString());
            check(textMatches, "streamed text of " + caller + " is " + caller.text);
        }
        check(response.equals(expected), "response of " + caller + " is " + response);
    }
}
