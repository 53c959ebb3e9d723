package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.pieces.PieceId;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.PieceTerms;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.route.PieceStage;
import org.fuchsiawharf.core.route.Route;
import org.fuchsiawharf.core.time.TimerService;
import org.jspecify.annotations.Nullable;

/**
 * Takes one request through the stages of its route.
 *
 * <p>A piece is ordered once all results that it needs are there, and gets exactly the results of this request, in
 * the order of their stages and pieces. Results are released when nothing needs them any more, whatever way the
 * request ends; a result that vanished or was released is made again if it is needed again. A stage that nothing
 * follows begins only when the others leave it just its time, since its results take space until all are done.
 * Confined to the decision loop.
 */
final class StageRun {
    /** How often vanished results are made again, over the whole request; a chain of stages may need each once. */
    private static final int MAX_REMAKES = 4;

    private final RelayRequest request;
    private final Route route;
    private final StagePools pools;
    private final TimerService timers;
    private final Plan plan;
    private final Owner owner;
    private final StageState[] stages;
    private int remakes;
    private boolean ready;
    private boolean ended;

    /**
     * How urgent a request's stages are, and where its results are wanted.
     *
     * @param rank the request's rank
     * @param zone the availability zone of the endpoint that will need the results
     * @param dueNanos when each stage should be done for the request to meet its objective
     * @param deadlineNanos when the results of each stage have no use any more
     * @param beginNanos when each stage should begin at the earliest
     */
    record Plan(int rank, String zone, List<Long> dueNanos, List<Long> deadlineNanos, List<Long> beginNanos) {
        Plan {
            beginNanos = List.copyOf(beginNanos);
            dueNanos = List.copyOf(dueNanos);
            deadlineNanos = List.copyOf(deadlineNanos);
        }
    }

    /** The request whose stages these are. */
    interface Owner {
        /** Takes in the handles of the last stages' results, in the order of their stages and pieces. */
        void onStagesReady(List<String> handles);

        /** Learns that a stage failed; the run has ended. */
        void onStagesFailed(PieceResult.Status status);

        /** Finds the availability zone in which a result lies, empty if it is not known. */
        String findZone(String handle);
    }

    /** The pieces of one stage: a piece is missing, ordered, or done and then has a handle. */
    private static final class StageState {
        private final @Nullable String[] handles;
        private final boolean[] ordered;
        private boolean released;
        private boolean scheduled;

        private StageState(int pieces) {
            handles = new String[pieces];
            ordered = new boolean[pieces];
        }

        private boolean isDone() {
            return Arrays.stream(handles).allMatch(handle -> handle != null);
        }

        private List<Integer> missing() {
            return IntStream.range(0, handles.length)
                    .filter(i -> handles[i] == null && !ordered[i])
                    .boxed()
                    .toList();
        }

        private List<String> held() {
            List<String> list = new ArrayList<>();
            for (String handle : handles) {
                if (handle != null) {
                    list.add(handle);
                }
            }
            return list;
        }
    }

    StageRun(RelayRequest request, Route route, StagePools pools, TimerService timers, Plan plan, Owner owner) {
        this.request = request;
        this.route = route;
        this.pools = pools;
        this.timers = timers;
        this.plan = plan;
        this.owner = owner;
        this.stages = new StageState[route.stages().size()];
        for (int i = 0; i < stages.length; i++) {
            stages[i] = new StageState(
                    i < request.pieces().size() ? request.pieces().get(i) : 0);
        }
    }

    /** Orders what can be ordered; tells at once that all is ready if the request has no pieces. */
    void start() {
        advance();
    }

    /** Ends the run: withdraws what has not begun and releases every result. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        for (int i = 0; i < stages.length; i++) {
            if (isOrdered(stages[i])) {
                pools.cancel(service(i), request.id());
            }
            release(i);
        }
    }

    /**
     * Makes results again that an endpoint missed.
     *
     * @param alive tells whether the maker of a handle is still usable, not null
     * @return false if results were made again too often
     */
    boolean remakeLast(Predicate<String> alive) {
        ready = false;
        List<Integer> last = route.lastStages(request.pieces());
        boolean anyGone =
                last.stream().anyMatch(stage -> stages[stage].held().stream().anyMatch(alive.negate()));
        return remake(last, anyGone ? alive.negate() : handle -> true);
    }

    // -----------------------------------------------------------------------

    private void advance() {
        for (int i = 0; i < stages.length && !ended; i++) {
            List<Integer> missing = stages[i].missing();
            if (!missing.isEmpty() && areInputsDone(i)) {
                begin(i, missing);
            }
        }
        if (!ready && !ended && Arrays.stream(stages).allMatch(StageState::isDone)) {
            ready = true;
            owner.onStagesReady(route.lastStages(request.pieces()).stream()
                    .flatMap(stage -> stages[stage].held().stream())
                    .toList());
        }
    }

    private void begin(int stage, List<Integer> missing) {
        long at = plan.beginNanos().get(stage);
        if (at <= timers.now()) {
            submit(stage, missing);
        } else if (!stages[stage].scheduled) {
            stages[stage].scheduled = true;
            timers.schedule(at, this::advance);
        }
    }

    private void submit(int stage, List<Integer> pieces) {
        PieceStage spec = route.stages().get(stage);
        List<String> inputs = new ArrayList<>();
        long inputBytes = 0;
        for (int before : spec.after()) {
            inputs.addAll(stages[before].held());
            inputBytes +=
                    stages[before].handles.length * route.stages().get(before).resultBytes();
        }
        String key = spec.after().isEmpty() ? request.pieceKey() : null;
        PieceTerms terms = new PieceTerms(
                plan.rank(),
                inputBytes > stages[stage].handles.length * spec.resultBytes() ? zoneOf(inputs) : plan.zone(),
                spec.resultBytes(),
                inputBytes,
                plan.dueNanos().get(stage),
                plan.deadlineNanos().get(stage));
        List<PieceOrder> orders = new ArrayList<>();
        for (int piece : pieces) {
            stages[stage].ordered[piece] = true;
            orders.add(new PieceOrder(new PieceId(request.id(), stage, piece), key, inputs, terms));
        }
        pools.submit(spec.service(), orders, this::onResult);
    }

    // Where most of the inputs lie.
    private String zoneOf(List<String> inputs) {
        Map<String, Integer> counts = new HashMap<>();
        inputs.forEach(handle -> counts.merge(owner.findZone(handle), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(plan.zone());
    }

    private void onResult(PieceResult result) {
        int stage = result.id().stage();
        if (ended) {
            if (result.status() == PieceResult.Status.DONE) {
                pools.release(service(stage), List.of(result.handle()));
            }
            return;
        }
        stages[stage].ordered[result.id().piece()] = false;
        if (result.status() == PieceResult.Status.DONE) {
            stages[stage].handles[result.id().piece()] = result.handle();
            if (stages[stage].isDone()) {
                releaseInputsOf(stage);
                advance();
            }
        } else if (result.status() != PieceResult.Status.INPUT_GONE
                || !remake(route.stages().get(stage).after(), handle -> true)) {
            end();
            owner.onStagesFailed(result.status());
        }
    }

    private boolean remake(List<Integer> which, Predicate<String> gone) {
        boolean any = false;
        for (int stage : which) {
            any |= reset(stage, gone);
        }
        if (any && ++remakes > MAX_REMAKES) {
            return false;
        }
        advance();
        return true;
    }

    // What was released counts as gone as soon as a piece that needs it is made again.
    private boolean reset(int stage, Predicate<String> gone) {
        boolean any = false;
        StageState state = stages[stage];
        for (int i = 0; i < state.handles.length; i++) {
            String handle = state.handles[i];
            if (handle != null && (state.released || gone.test(handle))) {
                state.handles[i] = null;
                any = true;
            }
        }
        state.released = false;
        if (any) {
            for (int before : route.stages().get(stage).after()) {
                if (stages[before].released) {
                    reset(before, handle -> true);
                }
            }
        }
        return any;
    }

    private void releaseInputsOf(int stage) {
        for (int before : route.stages().get(stage).after()) {
            boolean needed = IntStream.range(0, stages.length)
                    .filter(i -> route.stages().get(i).after().contains(before))
                    .anyMatch(i -> !stages[i].isDone());
            if (!needed) {
                release(before);
            }
        }
    }

    // The handles stay noted, so that the stage still counts as done.
    private void release(int stage) {
        List<String> held = stages[stage].held();
        if (!held.isEmpty() && !stages[stage].released) {
            stages[stage].released = true;
            pools.release(service(stage), held);
        }
    }

    private boolean areInputsDone(int stage) {
        return route.stages().get(stage).after().stream().allMatch(before -> stages[before].isDone());
    }

    private static boolean isOrdered(StageState state) {
        for (boolean each : state.ordered) {
            if (each) {
                return true;
            }
        }
        return false;
    }

    private String service(int stage) {
        return route.stages().get(stage).service();
    }
}
