package org.fuchsiawharf.core.pieces;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.function.BiConsumer;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Sends results to the instances that submitted the pieces, and keeps those that a full connection refuses.
 *
 * <p>The results of one pool are sent to an instance in the order in which they were added, several in one message. A
 * result is kept while the instance is connected, at most for its time to live. The instance then receives the status
 * {@link PieceResult.Status#WITHDRAWN} in place of an expired handle, so that it resubmits the piece. An instance that
 * is not connected has resubmitted its pieces: its results are dropped and their handles released.
 *
 * <p>A piece counts as unfinished, and its submitter as waiting for heartbeats, until its result was sent or dropped.
 *
 * <p>Confined to the decision loop.
 */
final class ResultOutbox {
    /** Maximum results in one message; keeps it far below the maximum size of a frame. */
    static final int MAX_RESULTS = 1_000;
    /** Time for which results are kept if the service processes no pieces any more. */
    private static final long DEFAULT_TTL_NANOS = 4_000_000_000L;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final PeerPort peers;
    private final PeerHeartbeats heartbeats;
    private final PoolLayout layout;
    private final TimerService timers;
    private final DecisionLog log;
    private final BiConsumer<PoolKey, List<String>> release;
    private final Map<Receiver, Queue<UnsentResult>> unsentByReceiver = new LinkedHashMap<>();

    private record Receiver(String peer, PoolKey pool) {}

    private record UnsentResult(PieceResult result, long addedNanos, long expiresNanos) {}

    /**
     * Creates an empty outbox.
     *
     * @param peers sends messages to other instances, not null
     * @param heartbeats tracks which instances wait for pieces, not null
     * @param layout knows the time to live of the results of each service, not null
     * @param context the timer service and the log, not null
     * @param release releases the handles of results that a pool produced, not null
     */
    ResultOutbox(
            PeerPort peers,
            PeerHeartbeats heartbeats,
            PoolLayout layout,
            PoolContext context,
            BiConsumer<PoolKey, List<String>> release) {
        this.peers = peers;
        this.heartbeats = heartbeats;
        this.layout = layout;
        this.timers = context.timers();
        this.log = context.log();
        this.release = release;
    }

    /**
     * Sends results after those that are kept for the same instance and pool.
     *
     * @param peer the name of the instance that submitted the pieces, not null
     * @param pool the pool, not null
     * @param results the results, not null
     */
    void add(String peer, PoolKey pool, List<PieceResult> results) {
        Receiver receiver = new Receiver(peer, pool);
        boolean empty = !unsentByReceiver.containsKey(receiver);
        enqueue(receiver, results);
        flush(receiver);
        Queue<UnsentResult> unsent = unsentByReceiver.get(receiver);
        if (empty && unsent != null) {
            log.write("results.deferred", "peer", peer, "service", pool.service(), "results", unsent.size());
        }
    }

    /** Sends the kept results that connections accept, and drops those that are expired or whose peer is gone. */
    void sendUnsent() {
        List.copyOf(unsentByReceiver.keySet()).forEach(this::flush);
    }

    private void enqueue(Receiver receiver, Collection<PieceResult> results) {
        PieceService spec = layout.getSpec(receiver.pool().service());
        long now = timers.now();
        long expiresNanos = now + (spec == null ? DEFAULT_TTL_NANOS : spec.resultTtlMillis() * NANOS_PER_MILLI);
        Queue<UnsentResult> unsent = unsentByReceiver.computeIfAbsent(receiver, r -> new ArrayDeque<>());
        results.forEach(result -> unsent.add(new UnsentResult(result, now, expiresNanos)));
    }

    private void flush(Receiver receiver) {
        Queue<UnsentResult> unsent = unsentByReceiver.get(receiver);
        if (unsent == null) {
            return;
        }
        dropExpired(receiver, unsent);
        sendFrom(receiver, unsent);
        if (!peers.isConnected(receiver.peer())) {
            drop(receiver, unsent, "not connected");
            unsent.clear();
        }
        if (unsent.isEmpty()) {
            unsentByReceiver.remove(receiver);
        }
    }

    private void sendFrom(Receiver receiver, Queue<UnsentResult> unsent) {
        while (!unsent.isEmpty()) {
            long waitedNanos = timers.now() - unsent.element().addedNanos();
            List<PieceResult> results =
                    unsent.stream().limit(MAX_RESULTS).map(UnsentResult::result).toList();
            if (!peers.send(receiver.peer(), new PeerMessage.PiecesEnded(receiver.pool(), results))) {
                return;
            }
            for (PieceResult result : results) {
                unsent.remove();
                heartbeats.onEnded(receiver.peer(), result.id());
            }
            if (waitedNanos > 0) {
                log.write(
                        "results.sent_late",
                        "peer",
                        receiver.peer(),
                        "service",
                        receiver.pool().service(),
                        "results",
                        results.size(),
                        "waited_ms",
                        waitedNanos / NANOS_PER_MILLI);
            }
        }
    }

    private void dropExpired(Receiver receiver, Queue<UnsentResult> unsent) {
        List<UnsentResult> expired = new ArrayList<>();
        unsent.removeIf(kept -> kept.expiresNanos() <= timers.now() && expired.add(kept));
        if (expired.isEmpty()) {
            return;
        }
        drop(receiver, expired, "expired");
        enqueue(
                receiver,
                expired.stream()
                        .map(UnsentResult::result)
                        .filter(ResultOutbox::isDone)
                        .map(result -> PieceResult.notProduced(result.id(), PieceResult.Status.WITHDRAWN))
                        .toList());
    }

    private void drop(Receiver receiver, Collection<UnsentResult> dropped, String reason) {
        if (dropped.isEmpty()) {
            return;
        }
        List<PieceResult> results = dropped.stream().map(UnsentResult::result).toList();
        List<String> requests = results.stream()
                .map(result -> result.id().requestId())
                .distinct()
                .toList();
        log.write(
                "results.dropped",
                "peer",
                receiver.peer(),
                "service",
                receiver.pool().service(),
                "results",
                results.size(),
                "reason",
                reason,
                "requests",
                String.join(" ", requests));
        results.forEach(result -> heartbeats.onEnded(receiver.peer(), result.id()));
        release.accept(
                receiver.pool(),
                results.stream()
                        .filter(ResultOutbox::isDone)
                        .map(PieceResult::handle)
                        .toList());
    }

    private static boolean isDone(PieceResult result) {
        return result.status() == PieceResult.Status.DONE;
    }
}
