package org.fuchsiawharf.daemon.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.apache.commons.codec.digest.DigestUtils;
import org.fuchsiawharf.core.claims.Claim;
import org.fuchsiawharf.core.claims.ClaimCommitter;
import org.fuchsiawharf.core.claims.ClaimResult;
import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.port.ClaimPort;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.store.RateLimitedStore;
import org.jspecify.annotations.Nullable;

/**
 * Commits and releases claims in batches on a dedicated thread.
 *
 * <p>Claims that arrive during a write are committed together afterwards, by one write per shard. While the key-value
 * service is unreachable, claims fail at once as unavailable, except for one attempt per retry interval. Thread-safe.
 */
final class ClaimWorker implements ClaimPort, AutoCloseable {
    private static final Logger LOG = System.getLogger(ClaimWorker.class.getName());
    private static final int QUEUE_CAPACITY = 10_000;
    private static final long RETRY_INTERVAL_NANOS = 500_000_000;

    private final String holder;
    private final RateLimitedStore store;
    private final ClaimCommitter committer;
    private final EventSink sink;
    private final BlockingQueue<ClaimTask> queue = new LinkedBlockingQueue<>(QUEUE_CAPACITY);
    private final Thread thread;
    private volatile boolean closed;
    private long lastAttemptNanos;

    /** A claim to commit, or to release if the receiver is null. */
    private record ClaimTask(Claim claim, @Nullable Consumer<ClaimResult> receiver) {}

    ClaimWorker(String holder, RateLimitedStore store, EventSink sink) {
        this.holder = holder;
        this.store = store;
        this.committer = new ClaimCommitter(store, System::currentTimeMillis);
        this.sink = sink;
        this.thread = new Thread(this::run, "claims-" + holder);
        this.thread.setDaemon(true);
        this.thread.start();
    }

    @Override
    public void claim(String key, String request, Payload body, Consumer<ClaimResult> receiver) {
        if (!queue.offer(new ClaimTask(toClaim(key, request, body), receiver))) {
            receiver.accept(ClaimResult.unavailable());
        }
    }

    @Override
    public void release(String key, String request) {
        if (!queue.offer(new ClaimTask(toClaim(key, request, Payload.NULL), null))) {
            LOG.log(
                    Level.WARNING,
                    "claim of request " + request
                            + " cannot be released because the claim queue is full; it stays until it expires");
        }
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private Claim toClaim(String key, String request, Payload body) {
        return new Claim(key, holder, request, DigestUtils.sha256Hex(body.getBytes()), System.currentTimeMillis());
    }

    // -----------------------------------------------------------------------

    private void run() {
        while (!closed) {
            try {
                ClaimTask first = queue.poll(1, TimeUnit.SECONDS);
                if (first != null) {
                    List<ClaimTask> batch = new ArrayList<>(List.of(first));
                    queue.drainTo(batch);
                    commit(batch);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void commit(List<ClaimTask> batch) {
        Map<Integer, List<ClaimTask>> byShard = new HashMap<>();
        for (ClaimTask task : batch) {
            int shard = ClaimCommitter.shardOf(task.claim().key());
            byShard.computeIfAbsent(shard, s -> new ArrayList<>()).add(task);
        }
        byShard.forEach(this::commitShard);
    }

    private void commitShard(int shard, List<ClaimTask> shardTasks) {
        List<Claim> acquisitions = new ArrayList<>();
        List<Claim> releases = new ArrayList<>();
        for (ClaimTask task : shardTasks) {
            (task.receiver() == null ? releases : acquisitions).add(task.claim());
        }
        Map<Claim, ClaimResult> results =
                tryBeginAttempt() ? committer.commit(shard, acquisitions, releases) : Map.of();
        for (ClaimTask task : shardTasks) {
            Consumer<ClaimResult> receiver = task.receiver();
            if (receiver != null) {
                ClaimResult result = results.getOrDefault(task.claim(), ClaimResult.unavailable());
                sink.publish(new Event.Task(() -> receiver.accept(result)));
            }
        }
    }

    private boolean tryBeginAttempt() {
        long now = System.nanoTime();
        boolean allowed = store.isReachable() || now - lastAttemptNanos > RETRY_INTERVAL_NANOS;
        lastAttemptNanos = allowed ? now : lastAttemptNanos;
        return allowed;
    }
}
