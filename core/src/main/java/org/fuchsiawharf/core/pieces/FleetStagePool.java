package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.port.CallFailure;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;
import org.fuchsiawharf.core.time.TimerService.Timer;
import org.jspecify.annotations.Nullable;

/**
 * Queues the pieces of one pool for the whole fleet and batches them into calls to its endpoints.
 *
 * <p>One queue in front of all endpoints fills batches even if each of many instances has only a few pieces. The pool
 * keeps at most one call in flight for each slot of an endpoint, so that queued pieces can still be reordered. Every
 * piece that is not cancelled gets exactly one result.
 *
 * <p>Confined to the decision loop.
 */
public final class FleetStagePool implements StagePool {
    /** Maximum attempts for one piece; bounds the number of endpoints that a piece can crash. */
    private static final int MAX_ATTEMPTS = 3;
    /** A call is stuck after this multiple of its expected time; its pieces are then retried at other endpoints too. */
    private static final double STUCK_FACTOR = 2.0;
    /** Added to the time limit of a stuck call for the transfer of inputs and a round trip. */
    private static final long STUCK_SLACK_NANOS = 200_000_000L;
    /** A call is cancelled after this multiple of its expected time; above the slowdown that is worth waiting for. */
    private static final double ABANDON_FACTOR = 8.0;
    /** Interval between dispatches while pieces are queued and endpoints are idle or backing off. */
    private static final long RECHECK_NANOS = 25_000_000L;
    /** Expected call time to which measured call times are scaled, so that endpoints can be compared. */
    private static final double NOMINAL_CALL_NANOS = 100e6;

    private static final double NANOS_PER_MILLI = 1e6;

    private final PoolKey key;
    private final String service;
    private final EndpointTable table;
    private final HealthPolicy health;
    private final PieceCalls calls;
    private final TimerService timers;
    private final SharedRetryBudget budget;
    private final DecisionLog log;
    private final Meters meters;
    private final StageCallLog callLog;
    private final PieceQueue queue = new PieceQueue();
    private final ResultSpace resultSpace = new ResultSpace();
    private final Map<String, List<PieceTask>> tasksByRequest = new HashMap<>();
    private final StageEndpoints endpoints;
    private final SlotIdleTimes slotIdleTimes = new SlotIdleTimes();
    private final ResultReleases releases;
    private final ForeignSpaceEstimator foreignSpace;
    private @Nullable PieceService spec;
    private @Nullable Timer recheck;

    /**
     * Creates a pool.
     *
     * @param key the service and the endpoints of the pool, not null
     * @param context the components that all pools of the instance share, not null
     */
    public FleetStagePool(PoolKey key, PoolContext context) {
        this.key = key;
        this.service = key.service();
        this.table = context.table();
        this.health = context.health();
        this.calls = context.calls();
        this.timers = context.timers();
        this.budget = context.budget();
        this.log = context.log();
        this.meters = context.meters();
        this.callLog = new StageCallLog(context.log(), service);
        this.endpoints = new StageEndpoints(key, context);
        this.releases = new ResultReleases(service, context, resultSpace, this::dispatch);
        this.foreignSpace = new ForeignSpaceEstimator(service, context, resultSpace, this::dispatch);
    }

    /**
     * Sets how the endpoints process pieces.
     *
     * @param pieces the limits and expected times, null if the service processes no pieces
     */
    public void setSpec(@Nullable PieceService pieces) {
        spec = pieces;
        dispatch();
    }

    /**
     * Gets the current backlog.
     *
     * @return the backlog, never null
     */
    public StageBacklog getBacklog() {
        List<EndpointState> usable = endpoints.getUsable();
        if (!key.coversAllZones() && !usable.isEmpty() && !usable.get(0).isUsable()) {
            // Other pools of the service are preferred while this one has only ejected endpoints.
            return new StageBacklog(queue.countByRank(), 0, 0);
        }
        long idle = usable.stream().filter(this::isIdle).count();
        return new StageBacklog(queue.countByRank(), usable.size(), (int) idle);
    }

    int getQueuedCount() {
        return queue.size();
    }

    private boolean isIdle(EndpointState endpoint) {
        return spec != null && endpoints.hasIdleSlot(endpoint, spec.slots());
    }

    @Override
    public void submit(List<PieceOrder> orders, PieceListener listener) {
        for (PieceOrder order : orders) {
            budget.onRequest(service);
            PieceTask task = new PieceTask(order, listener, timers.now());
            tasksByRequest
                    .computeIfAbsent(order.id().requestId(), id -> new ArrayList<>())
                    .add(task);
            queue.add(task);
        }
        dispatch();
    }

    @Override
    public void cancel(String requestId) {
        List<PieceTask> tasks = tasksByRequest.remove(requestId);
        if (tasks != null) {
            tasks.forEach(PieceTask::finishSilently);
            tasks.forEach(queue::remove);
            slotIdleTimes.onQueueChanged(queue.isEmpty(), timers.now());
        }
    }

    /** Ends the queued pieces of the given listeners with the status {@link PieceResult.Status#WITHDRAWN}. */
    void withdraw(String reason, Predicate<PieceListener> condition) {
        List<PieceTask> withdrawn = new ArrayList<>();
        queue.removeIf(task -> condition.test(task.listener), withdrawn::add);
        if (!withdrawn.isEmpty()) {
            log.write("pieces.withdrawn", "service", service, "pieces", withdrawn.size(), "reason", reason);
        }
        withdrawn.forEach(task -> finish(task, PieceResult.notProduced(task.order.id(), PieceResult.Status.WITHDRAWN)));
        slotIdleTimes.onQueueChanged(queue.isEmpty(), timers.now());
    }

    @Override
    public void release(List<String> handles) {
        releases.add(handles);
    }

    // -----------------------------------------------------------------------

    /** Sends all batches that can be sent now; called whenever pieces, endpoints or their state have changed. */
    public void dispatch() {
        PieceService pieceSpec = spec;
        List<EndpointState> usable = endpoints.getUsable();
        if (pieceSpec == null || usable.isEmpty()) {
            withdraw(pieceSpec == null ? "service processes no pieces" : "no endpoints listed", listener -> true);
            return;
        }
        long now = timers.now();
        long minCallNanos = (long) (pieceSpec.callMillisFor(1) * NANOS_PER_MILLI);
        queue.removeExpired(now + minCallNanos)
                .forEach(task -> finish(task, PieceResult.notProduced(task.order.id(), PieceResult.Status.LATE)));
        queue.grantRetries(() -> budget.trySpend(service));
        boolean idleEndpointLeft = false;
        for (EndpointState endpoint : usable) {
            if (queue.isEmpty()) {
                break;
            }
            if (isIdle(endpoint)) {
                List<PieceTask> batch = takeBatch(endpoint, usable, pieceSpec);
                if (batch.isEmpty()) {
                    idleEndpointLeft = true;
                } else {
                    start(endpoint, batch, pieceSpec);
                }
            }
        }
        slotIdleTimes.onQueueChanged(queue.isEmpty(), now);
        if (!queue.isEmpty() && (idleEndpointLeft || endpoints.isAnyBlocked(usable))) {
            scheduleRecheck();
        }
    }

    private void scheduleRecheck() {
        if (recheck == null) {
            recheck = timers.schedule(timers.now() + RECHECK_NANOS, () -> {
                recheck = null;
                dispatch();
            });
        }
    }

    private List<PieceTask> takeBatch(EndpointState endpoint, List<EndpointState> usable, PieceService pieceSpec) {
        PieceQueue.Offer offer = new PieceQueue.Offer(
                endpoint.getEndpoint().name(),
                endpoint.getEndpoint().zone(),
                pieceSpec.batch(),
                foreignSpace.estimateFreeBytes(endpoint.getEndpoint(), pieceSpec.resultSpaceBytes()),
                (long) (pieceSpec.callMillisFor(1) * NANOS_PER_MILLI));
        return queue.take(
                offer,
                timers.now(),
                zone -> usable.stream().anyMatch(e -> e.getEndpoint().zone().equals(zone)),
                usable.stream().map(e -> e.getEndpoint().name()).toList());
    }

    // -----------------------------------------------------------------------

    private void start(EndpointState endpoint, List<PieceTask> batch, PieceService pieceSpec) {
        BatchCall call = new BatchCall(endpoint, batch, pieceSpec);
        for (PieceTask task : batch) {
            task.attempts++;
        }
        meters.count("stage_calls", service);
        meters.count("stage_pieces", service, batch.size());
        meters.time("stage_idle_seconds", service, call.start.idleNanos());
        call.send();
    }

    private void finish(PieceTask task, PieceResult result) {
        removeTask(task);
        task.finish(result);
    }

    private void removeTask(PieceTask task) {
        List<PieceTask> tasks = tasksByRequest.get(task.order.id().requestId());
        if (tasks != null) {
            tasks.remove(task);
            if (tasks.isEmpty()) {
                tasksByRequest.remove(task.order.id().requestId());
            }
        }
    }

    private void retryOrFail(PieceTask task, String endpoint, boolean chargeBudget) {
        if (!task.finished && !tryRetry(task, endpoint, chargeBudget)) {
            log.write(
                    "piece.failed",
                    "request",
                    task.order.id().requestId(),
                    "service",
                    service,
                    "piece",
                    task.order.id().toString(),
                    "attempts",
                    task.attempts);
            finish(task, PieceResult.notProduced(task.order.id(), PieceResult.Status.FAILED));
        }
    }

    private boolean tryRetry(PieceTask task, String endpoint, boolean chargeBudget) {
        task.failedEndpoints.add(endpoint);
        if (task.attempts >= MAX_ATTEMPTS || (chargeBudget && !budget.trySpend(service))) {
            return false;
        }
        queue.add(task);
        return true;
    }

    /** One call to an endpoint, from sending until its response or failure. */
    private final class BatchCall implements PieceCalls.Listener {
        private final EndpointState endpoint;
        private final String name;
        private final List<PieceTask> batch;
        private final PieceService pieceSpec;
        private final long sentNanos = timers.now();
        private final double expectedNanos;
        private final Timer stuckTimer;
        private final Timer abandonTimer;
        private final StageCallLog.Start start;
        /** Pieces that were retried elsewhere when this call was detected as stuck. */
        private final Set<PieceTask> retriedElsewhere = new HashSet<>();

        private PieceCalls.@Nullable Call call;

        private BatchCall(EndpointState endpoint, List<PieceTask> batch, PieceService pieceSpec) {
            this.endpoint = endpoint;
            this.name = endpoint.getEndpoint().name();
            this.batch = batch;
            this.pieceSpec = pieceSpec;
            this.expectedNanos = pieceSpec.callMillisFor(batch.size()) * NANOS_PER_MILLI;
            this.start = new StageCallLog.Start(
                    name,
                    batch.size(),
                    expectedNanos,
                    queue.size(),
                    foreignSpace.estimateFreeBytes(endpoint.getEndpoint(), pieceSpec.resultSpaceBytes()),
                    slotIdleTimes.onCallStarted(name, sentNanos));
            this.stuckTimer = timers.schedule(
                    sentNanos + (long) (STUCK_FACTOR * expectedNanos) + STUCK_SLACK_NANOS, this::onStuck);
            this.abandonTimer = timers.schedule(sentNanos + (long) (ABANDON_FACTOR * expectedNanos), this::onAbandoned);
        }

        private void send() {
            endpoints.onSent(endpoint);
            batch.forEach(task -> resultSpace.addUsed(name, task.order.terms().resultBytes()));
            call = calls.send(
                    endpoint.getEndpoint(),
                    batch.stream().map(task -> task.order).toList(),
                    this);
        }

        private void end() {
            stuckTimer.cancel();
            abandonTimer.cancel();
            endpoints.onEnded(endpoint);
            slotIdleTimes.onCallEnded(name, timers.now());
        }

        @Override
        public void onAnswered(List<PieceCalls.Answer> answers) {
            end();
            endpoints.onAnswered(endpoint);
            long durationNanos = timers.now() - sentNanos;
            endpoint.onCompleted((long) (NOMINAL_CALL_NANOS * durationNanos / expectedNanos));
            health.onSuccess(table.getPool(service), endpoint, false, timers.now());
            meters.time("stage_call_seconds", service, durationNanos);
            callLog.writeAnswered(start, durationNanos, queue.size());
            Map<PieceListener, List<PieceResult>> produced = new LinkedHashMap<>();
            for (int i = 0; i < batch.size(); i++) {
                onPieceAnswered(batch.get(i), answers.get(i), produced);
            }
            produced.forEach(PieceListener::onResults);
            dispatch();
        }

        private void onPieceAnswered(
                PieceTask task, PieceCalls.Answer answer, Map<PieceListener, List<PieceResult>> produced) {
            long bytes = task.order.terms().resultBytes();
            if (answer.kind() == PieceCalls.AnswerKind.PRODUCED) {
                long expires = timers.now() + pieceSpec.resultTtlMillis() * 1_000_000L;
                resultSpace.hold(answer.handle(), name, bytes, expires);
                if (task.finished) {
                    release(List.of(answer.handle()));
                } else {
                    queue.remove(task);
                    removeTask(task);
                    task.finishSilently();
                    produced.computeIfAbsent(task.listener, l -> new ArrayList<>())
                            .add(PieceResult.done(task.order.id(), answer.handle()));
                }
                return;
            }
            resultSpace.addUsed(name, -bytes);
            switch (answer.kind()) {
                case LATE -> finishUnlessQueued(task, PieceResult.Status.LATE);
                case INPUT_GONE -> finishUnlessQueued(task, PieceResult.Status.INPUT_GONE);
                case NO_SPACE -> {
                    log.write(
                            "piece.no_space",
                            "request",
                            task.order.id().requestId(),
                            "endpoint",
                            name,
                            "bytes",
                            bytes,
                            "believed_used",
                            resultSpace.getUsedBytes(name, timers.now()));
                    foreignSpace.onNoSpace(endpoint.getEndpoint(), pieceSpec.resultSpaceBytes());
                    task.attempts--;
                    requeue(task, false);
                }
                default -> {
                    health.onFailure(table.getPool(service), endpoint, CallFailure.ERROR, timers.now());
                    requeue(task, true);
                }
            }
        }

        private void finishUnlessQueued(PieceTask task, PieceResult.Status status) {
            if (!retriedElsewhere.contains(task)) {
                finish(task, PieceResult.notProduced(task.order.id(), status));
            }
        }

        private void requeue(PieceTask task, boolean chargeBudget) {
            if (!retriedElsewhere.contains(task)) {
                retryOrFail(task, name, chargeBudget);
            }
        }

        // Nothing of a refused piece has run, so that it can wait until the budget allows to send it again.
        private void requeueRefused(PieceTask task) {
            task.attempts--;
            if (!task.finished && !retriedElsewhere.contains(task)) {
                task.awaitsRetryBudget = true;
                queue.add(task);
            }
        }

        @Override
        public void onFailed(CallFailure failure, String detail) {
            end();
            callLog.writeFailed(start, failure.getWireName(), detail, timers.now() - sentNanos);
            meters.count("stage_failures", failure.getWireName());
            batch.forEach(task -> resultSpace.addUsed(name, -task.order.terms().resultBytes()));
            endpoints.onFailed(endpoint, failure);
            boolean refused = failure == CallFailure.REFUSED;
            if (refused) {
                endpoints.backOff(endpoint, sentNanos);
            } else if (failure == CallFailure.LEAVING) {
                endpoint.onLeaving();
            } else {
                health.onFailure(table.getPool(service), endpoint, failure, timers.now());
            }
            for (PieceTask task : batch) {
                if (refused) {
                    requeueRefused(task);
                } else {
                    requeue(task, failure != CallFailure.NOT_SENT);
                }
            }
            dispatch();
        }

        private void onStuck() {
            callLog.writeStuck(start);
            health.onFailure(table.getPool(service), endpoint, CallFailure.TIMEOUT, timers.now());
            // A piece that may not be retried stays with this call, which may still answer.
            batch.stream()
                    .filter(task -> !task.finished && tryRetry(task, name, true))
                    .forEach(retriedElsewhere::add);
            dispatch();
        }

        private void onAbandoned() {
            if (call != null) {
                call.cancel();
            }
            onFailed(CallFailure.TIMEOUT, "no response within the time limit of the call");
        }
    }
}
