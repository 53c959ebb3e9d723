package org.fuchsiawharf.core.relay;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;
import java.util.stream.Collectors;
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
 * Submits the pieces of one request's stages.
 *
 * <p>A piece is submitted as soon as all results that it needs are available, and gets exactly the results of this
 * request, ordered by stage and piece. Results are released as soon as no stage needs them, and in every case when the
 * run ends; a result that was lost or released is recomputed if it is needed again. A terminal stage, on which no other
 * stage depends, starts as late as the other stages permit, since its results occupy memory until all stages are done.
 * Confined to the decision loop.
 */
final class StageRun {
    /** Maximum number of recomputations of lost results per request; a chain of stages may need one for each stage. */
    private static final int MAX_RECOMPUTATIONS = 4;

    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** How much earlier than necessary a stage starts if no other depends on it; about the time of one stage call. */
    private static final double START_MARGIN_MILLIS = 300;

    private final RelayRequest request;
    private final Route route;
    private final StagePools pools;
    private final TimerService timers;
    private final Schedule schedule;
    private final List<Double> expectedEndMillis;
    private final Callbacks callbacks;
    private final long createdNanos;
    private final StageState[] stages;
    private int recomputations;
    private boolean readyReported;
    private boolean ended;

    /**
     * The schedule of a request's stages. Times are nanoseconds on the loop's clock, by the number of the stage.
     *
     * @param rank the priority rank of the request
     * @param zone the availability zone of the endpoint that will need the results
     * @param dueNanos the time by which each stage has to be done for the request to meet its objective
     * @param deadlineNanos the time after which the results of each stage are useless
     * @param startNanos the earliest start of each stage
     */
    record Schedule(int rank, String zone, List<Long> dueNanos, List<Long> deadlineNanos, List<Long> startNanos) {
        Schedule {
            startNanos = List.copyOf(startNanos);
            dueNanos = List.copyOf(dueNanos);
            deadlineNanos = List.copyOf(deadlineNanos);
        }

        /** Creates the schedule in which each stage ends early enough for the stages that depend on it. */
        static Schedule of(Route route, StageForecast.StageEstimate estimate, Limits limits, int rank, String zone) {
            List<Long> dueNanos = new ArrayList<>();
            List<Long> stageDeadlineNanos = new ArrayList<>();
            List<Long> startNanos = new ArrayList<>();
            for (int i = 0; i < estimate.endMillis().size(); i++) {
                double slackMillis =
                        estimate.lastMillis() - estimate.endMillis().get(i);
                long followingNanos = (long) ((slackMillis + limits.responseMillis()) * NANOS_PER_MILLI);
                dueNanos.add(limits.objectiveNanos() - followingNanos);
                stageDeadlineNanos.add(limits.deadlineNanos() - followingNanos);
                double delayMillis = route.isTerminal(i) ? Math.max(0, slackMillis - START_MARGIN_MILLIS) : 0;
                startNanos.add(limits.nowNanos() + (long) (delayMillis * NANOS_PER_MILLI));
            }
            return new Schedule(rank, zone, dueNanos, stageDeadlineNanos, startNanos);
        }
    }

    /**
     * The times that bound a request's stages.
     *
     * @param nowNanos the current time, in nanoseconds
     * @param objectiveNanos the time by which the response is to begin, in nanoseconds
     * @param deadlineNanos the time at which the request ends, in nanoseconds
     * @param responseMillis the expected time from the end of the stages to the response, in milliseconds
     */
    record Limits(long nowNanos, long objectiveNanos, long deadlineNanos, double responseMillis) {}

    /** The callbacks of the request whose stages are run. */
    interface Callbacks {
        /** Called when all stages are done, with the handles of the terminal stages' results by stage and piece. */
        void onStagesReady(List<String> handles);

        /** Called when a stage has failed; the run has ended. */
        void onStagesFailed(PieceResult.Status status);

        /** Finds the availability zone of a result, empty if unknown. */
        String findZone(String handle);
    }

    /** The pieces of one stage. A piece is missing, submitted or done; a piece that is done has a handle. */
    private static final class StageState {
        private final @Nullable String[] handles;
        private final boolean[] submitted;
        private boolean released;
        private boolean startScheduled;
        private long doneNanos;

        private StageState(int pieces) {
            handles = new String[pieces];
            submitted = new boolean[pieces];
        }

        private boolean isDone() {
            return Arrays.stream(handles).allMatch(handle -> handle != null);
        }

        private List<Integer> missingPieces() {
            return IntStream.range(0, handles.length)
                    .filter(i -> handles[i] == null && !submitted[i])
                    .boxed()
                    .toList();
        }

        private List<String> availableHandles() {
            List<String> available = new ArrayList<>();
            for (String handle : handles) {
                if (handle != null) {
                    available.add(handle);
                }
            }
            return available;
        }
    }

    StageRun(
            RelayRequest request,
            Route route,
            StagePools pools,
            TimerService timers,
            Schedule schedule,
            List<Double> expectedEndMillis,
            Callbacks callbacks) {
        this.request = request;
        this.route = route;
        this.pools = pools;
        this.timers = timers;
        this.schedule = schedule;
        this.expectedEndMillis = expectedEndMillis;
        this.createdNanos = timers.now();
        this.callbacks = callbacks;
        this.stages = new StageState[route.stages().size()];
        for (int i = 0; i < stages.length; i++) {
            stages[i] = new StageState(
                    i < request.pieces().size() ? request.pieces().get(i) : 0);
        }
    }

    /**
     * Submits all pieces whose inputs are available and whose stage may start, and schedules the stages that start
     * later. If the request has no pieces, the stages are done at once.
     */
    void start() {
        advance();
    }

    /** Ends the run, cancels the pieces that have not started and releases all results. */
    void end() {
        if (ended) {
            return;
        }
        ended = true;
        for (int i = 0; i < stages.length; i++) {
            if (hasSubmittedPieces(stages[i])) {
                pools.cancel(serviceOf(i), request.id());
            }
            release(i);
        }
    }

    /**
     * Describes the stages that are done for the log, separated by spaces, in the form SERVICE:EXPECTED/ACTUAL; both
     * are milliseconds from the creation of this run to the end of the stage.
     */
    String describeEnds() {
        return IntStream.range(0, stages.length)
                .filter(i -> stages[i].doneNanos > 0)
                .mapToObj(i -> String.format(
                        "%s:%.0f/%d",
                        serviceOf(i), expectedEndMillis.get(i), (stages[i].doneNanos - createdNanos) / NANOS_PER_MILLI))
                .collect(Collectors.joining(" "));
    }

    /**
     * Recomputes the results of the terminal stages after an endpoint reported them missing.
     *
     * @param usable tests whether the producer of a handle is still usable, not null
     * @return false if the maximum number of recomputations is exceeded
     */
    boolean recomputeTerminalStages(Predicate<String> usable) {
        readyReported = false;
        List<Integer> terminalStages = route.terminalStages(request.pieces());
        boolean anyLost = terminalStages.stream()
                .anyMatch(stage -> stages[stage].availableHandles().stream().anyMatch(usable.negate()));
        return recompute(terminalStages, anyLost ? usable.negate() : handle -> true);
    }

    // -----------------------------------------------------------------------

    private void advance() {
        for (int i = 0; i < stages.length && !ended; i++) {
            List<Integer> missing = stages[i].missingPieces();
            if (!missing.isEmpty() && areInputsDone(i)) {
                submitWhenDue(i, missing);
            }
        }
        if (!readyReported && !ended && Arrays.stream(stages).allMatch(StageState::isDone)) {
            readyReported = true;
            callbacks.onStagesReady(route.terminalStages(request.pieces()).stream()
                    .flatMap(stage -> stages[stage].availableHandles().stream())
                    .toList());
        }
    }

    private void submitWhenDue(int stage, List<Integer> missing) {
        long startNanos = schedule.startNanos().get(stage);
        if (startNanos <= timers.now()) {
            submit(stage, missing);
        } else if (!stages[stage].startScheduled) {
            stages[stage].startScheduled = true;
            timers.schedule(startNanos, this::advance);
        }
    }

    private void submit(int stage, List<Integer> pieces) {
        PieceStage spec = route.stages().get(stage);
        List<String> inputs = new ArrayList<>();
        long inputBytes = 0;
        for (int dependency : spec.after()) {
            inputs.addAll(stages[dependency].availableHandles());
            inputBytes += stages[dependency].handles.length
                    * route.stages().get(dependency).resultBytes();
        }
        String key = spec.after().isEmpty() ? request.pieceKey() : null;
        PieceTerms terms = new PieceTerms(
                schedule.rank(),
                inputBytes > stages[stage].handles.length * spec.resultBytes()
                        ? findMajorityZone(inputs)
                        : schedule.zone(),
                spec.resultBytes(),
                inputBytes,
                schedule.dueNanos().get(stage),
                schedule.deadlineNanos().get(stage));
        List<PieceOrder> orders = new ArrayList<>();
        for (int piece : pieces) {
            stages[stage].submitted[piece] = true;
            orders.add(new PieceOrder(new PieceId(request.id(), stage, piece), key, inputs, terms));
        }
        pools.submit(spec.service(), orders, this::onResult);
    }

    // Finds the availability zone that holds most of the inputs.
    private String findMajorityZone(List<String> inputs) {
        Map<String, Integer> counts = new HashMap<>();
        inputs.forEach(handle -> counts.merge(callbacks.findZone(handle), 1, Integer::sum));
        return counts.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse(schedule.zone());
    }

    private void onResult(PieceResult result) {
        int stage = result.id().stage();
        if (ended) {
            if (result.status() == PieceResult.Status.DONE) {
                pools.release(List.of(result.handle()));
            }
            return;
        }
        stages[stage].submitted[result.id().piece()] = false;
        if (result.status() == PieceResult.Status.DONE) {
            stages[stage].handles[result.id().piece()] = result.handle();
            if (stages[stage].isDone()) {
                stages[stage].doneNanos = timers.now();
                releaseInputsOf(stage);
                advance();
            }
        } else if (result.status() != PieceResult.Status.INPUT_GONE
                || !recompute(route.stages().get(stage).after(), handle -> true)) {
            end();
            callbacks.onStagesFailed(result.status());
        }
    }

    private boolean recompute(List<Integer> stageNumbers, Predicate<String> shouldReset) {
        boolean anyReset = false;
        for (int stage : stageNumbers) {
            anyReset |= reset(stage, shouldReset);
        }
        if (anyReset && ++recomputations > MAX_RECOMPUTATIONS) {
            return false;
        }
        advance();
        return true;
    }

    // Released results are always reset: a piece that needs them has to be produced again.
    private boolean reset(int stage, Predicate<String> shouldReset) {
        boolean anyReset = false;
        StageState state = stages[stage];
        for (int i = 0; i < state.handles.length; i++) {
            String handle = state.handles[i];
            if (handle != null && (state.released || shouldReset.test(handle))) {
                state.handles[i] = null;
                anyReset = true;
            }
        }
        state.released = false;
        if (anyReset) {
            for (int dependency : route.stages().get(stage).after()) {
                if (stages[dependency].released) {
                    reset(dependency, handle -> true);
                }
            }
        }
        return anyReset;
    }

    private void releaseInputsOf(int stage) {
        for (int dependency : route.stages().get(stage).after()) {
            boolean needed = IntStream.range(0, stages.length)
                    .filter(i -> route.stages().get(i).after().contains(dependency))
                    .anyMatch(i -> !stages[i].isDone());
            if (!needed) {
                release(dependency);
            }
        }
    }

    // The handles are kept, so that the stage still counts as done.
    private void release(int stage) {
        List<String> handles = stages[stage].availableHandles();
        if (!handles.isEmpty() && !stages[stage].released) {
            stages[stage].released = true;
            pools.release(handles);
        }
    }

    private boolean areInputsDone(int stage) {
        return route.stages().get(stage).after().stream().allMatch(dependency -> stages[dependency].isDone());
    }

    private static boolean hasSubmittedPieces(StageState state) {
        for (boolean pieceSubmitted : state.submitted) {
            if (pieceSubmitted) {
                return true;
            }
        }
        return false;
    }

    private String serviceOf(int stage) {
        return route.stages().get(stage).service();
    }
}
