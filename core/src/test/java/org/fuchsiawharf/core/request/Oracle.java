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
 * Judges the promises from what endpoints ran and what callers were told.
 *
 * <p>Knows nothing of the implementation.
 */
final class Oracle {
    final List<String> violations = new ArrayList<>();
    private final Map<String, Integer> runs = new HashMap<>();
    private final Map<String, Integer> unsafeRuns = new HashMap<>();
    private final Map<Integer, Pipeline> pipelines = new HashMap<>();
    private final List<Caller> callers = new ArrayList<>();
    private final Set<String> leaving = new HashSet<>();
    private final Map<String, Integer> asks = new HashMap<>();

    /** One caller's experience. */
    static final class Caller {
        private final String nonce;
        private final Pipeline pipeline;
        private final int number;
        private final int runsBefore;
        private final StringBuilder text = new StringBuilder();
        private @Nullable RequestResult result;
        private boolean left;

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

    boolean isToldLeaving(String endpoint) {
        return leaving.contains(endpoint);
    }

    void onLeaving(String endpoint) {
        leaving.add(endpoint);
    }

    Caller onRequest(int request, String nonce, Pipeline pipeline) {
        pipelines.put(request, pipeline);
        asks.merge(nonce, 1, Integer::sum);
        Caller caller = new Caller(nonce, pipeline, callers.size(), runs.getOrDefault(nonce, 0));
        callers.add(caller);
        return caller;
    }

    void onLeft(Caller caller) {
        caller.left = true;
    }

    void onRun(String nonce, StageSpec stage) {
        runs.merge(nonce, 1, Integer::sum);
        if (!stage.repeatable()) {
            int count = unsafeRuns.merge(nonce + "/" + stage.name(), 1, Integer::sum);
            check(count == 1, "non-repeatable " + stage.name() + " of " + nonce + " ran " + count + " times");
        }
    }

    CallerPort portOf(Caller caller) {
        return new CallerPort() {
            @Override
            public void token(long offset, String token) {
                check(caller.result == null, "token after the end for " + caller);
                caller.text.append(token);
            }

            @Override
            public void finish(RequestResult result) {
                check(caller.result == null, "two outcomes for " + caller + ": " + caller.result + ", " + result);
                caller.result = result;
                judge(caller, result);
            }
        };
    }

    void checkAllTold() {
        for (Caller caller : callers) {
            check(caller.result != null || caller.left, "no outcome for " + caller);
        }
    }

    private void judge(Caller caller, RequestResult result) {
        boolean ownRunsOnly = asks.getOrDefault(caller.nonce, 0) == 1;
        if (result.outcome() == Outcome.NOT_RUN && ownRunsOnly) {
            check(runs.getOrDefault(caller.nonce, 0) == caller.runsBefore, "not run, but it ran: " + caller);
        }
        if (result.outcome() == Outcome.FAILED) {
            boolean unsafe = caller.pipeline.stages().stream()
                    .filter(stage -> !stage.repeatable())
                    .anyMatch(stage -> unsafeRuns.containsKey(caller.nonce + "/" + stage.name()));
            check(!unsafe, "failed, safe to repeat, but a non-repeatable stage ran: " + caller);
        }
        if (result.outcome() == Outcome.ANSWERED) {
            judgeAnswer(caller, result.answer().toString());
        }
    }

    private void judgeAnswer(Caller caller, String answer) {
        StageSpec last = caller.pipeline.stages().get(caller.pipeline.stages().size() - 1);
        String expected = "\"" + caller.nonce + "!\"";
        if (last.streaming()) {
            StringBuilder text = new StringBuilder();
            for (int i = 0; i < 4; i++) {
                text.append(caller.nonce).append(':').append(i).append(' ');
            }
            expected = "{\"text\":\"" + text + "\",\"tokens\":4}";
            boolean streamed = caller.text.isEmpty() || text.toString().endsWith(caller.text.toString());
            check(streamed, "streamed text of " + caller + " is " + caller.text);
        }
        check(answer.equals(expected), "answer of " + caller + " is " + answer);
    }
}
