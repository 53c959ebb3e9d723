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
import org.fuchsiawharf.core.store.BudgetedStore;
import org.jspecify.annotations.Nullable;

/**
 * Commits claims in groups on a thread of its own.
 *
 * <p>All claims that wait while a write is under way go with the next one. While the key-value service can't be
 * reached, claims are refused at once, but for one try at a time. Thread-safe.
 */
final class ClaimWorker implements ClaimPort, AutoCloseable {
    private static final Logger LOG = System.getLogger(ClaimWorker.class.getName());
    private static final int CAPACITY = 10_000;
    private static final long RETRY_NANOS = 500_000_000;

    private final String holder;
    private final BudgetedStore store;
    private final ClaimCommitter committer;
    private final EventSink sink;
    private final BlockingQueue<Order> orders = new LinkedBlockingQueue<>(CAPACITY);
    private final Thread thread;
    private volatile boolean closed;
    private long lastTryNanos;

    /** A claim to make, or to give up if nobody receives a result. */
    private record Order(Claim claim, @Nullable Consumer<ClaimResult> receiver) {}

    ClaimWorker(String holder, BudgetedStore store, EventSink sink) {
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
        if (!orders.offer(new Order(toClaim(key, request, body), receiver))) {
            receiver.accept(ClaimResult.unavailable());
        }
    }

    @Override
    public void release(String key, String request) {
        if (!orders.offer(new Order(toClaim(key, request, Payload.NULL), null))) {
            LOG.log(Level.WARNING, "claim of " + request + " is kept until its retention is over: too many wait");
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
                Order first = orders.poll(1, TimeUnit.SECONDS);
                if (first != null) {
                    List<Order> group = new ArrayList<>(List.of(first));
                    orders.drainTo(group);
                    commit(group);
                }
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private void commit(List<Order> group) {
        Map<Integer, List<Order>> byShard = new HashMap<>();
        for (Order order : group) {
            int shard = ClaimCommitter.shardOf(order.claim().key());
            byShard.computeIfAbsent(shard, s -> new ArrayList<>()).add(order);
        }
        byShard.forEach(this::commitShard);
    }

    private void commitShard(int shard, List<Order> shardOrders) {
        List<Claim> wanted = new ArrayList<>();
        List<Claim> given = new ArrayList<>();
        for (Order order : shardOrders) {
            (order.receiver() == null ? given : wanted).add(order.claim());
        }
        Map<Claim, ClaimResult> results = mayTry() ? committer.commit(shard, wanted, given) : Map.of();
        for (Order order : shardOrders) {
            Consumer<ClaimResult> receiver = order.receiver();
            if (receiver != null) {
                ClaimResult result = results.getOrDefault(order.claim(), ClaimResult.unavailable());
                sink.publish(new Event.Task(() -> receiver.accept(result)));
            }
        }
    }

    private boolean mayTry() {
        long now = System.nanoTime();
        boolean may = store.isReachable() || now - lastTryNanos > RETRY_NANOS;
        lastTryNanos = may ? now : lastTryNanos;
        return may;
    }
}
