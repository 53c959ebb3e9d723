package org.fuchsiawharf.daemon.load;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import io.undertow.util.StatusCodes;
import org.fuchsiawharf.http.client.BodyCollector;
import org.fuchsiawharf.http.client.HttpClient;
import org.fuchsiawharf.http.client.HttpTarget;
import org.jspecify.annotations.Nullable;

/**
 * The platform's balancer in small: sends requests in turn to the instances whose health check says ready.
 *
 * <p>Thread-safe.
 */
public final class Balancer implements AutoCloseable {
    private static final long CHECK_MILLIS = 200;

    private final HttpClient client;
    private final AtomicInteger next = new AtomicInteger();
    private volatile List<HttpTarget> targets;
    private volatile List<HttpTarget> ready;
    private volatile boolean closed;

    /**
     * Starts a balancer that takes every instance for ready until its first check.
     *
     * @param client sends the checks, not null
     * @param targets the instances, not null
     */
    public Balancer(HttpClient client, List<HttpTarget> targets) {
        this.client = client;
        this.targets = List.copyOf(targets);
        this.ready = this.targets;
        check();
    }

    /**
     * Chooses an instance.
     *
     * @return a ready instance, null if none is
     */
    public @Nullable HttpTarget choose() {
        List<HttpTarget> now = ready;
        return now.isEmpty() ? null : now.get(Math.floorMod(next.getAndIncrement(), now.size()));
    }

    /**
     * Takes an instance out until its next good check.
     *
     * @param target the instance, not null
     */
    public synchronized void onUnreachable(HttpTarget target) {
        List<HttpTarget> left = new ArrayList<>(ready);
        left.remove(target);
        ready = List.copyOf(left);
    }

    /**
     * Replaces the instances.
     *
     * @param replaced the instances, not null
     */
    public synchronized void setTargets(List<HttpTarget> replaced) {
        targets = List.copyOf(replaced);
        ready = ready.stream().filter(replaced::contains).toList();
    }

    /**
     * Gets how many instances are ready.
     *
     * @return the count
     */
    public int getReady() {
        return ready.size();
    }

    @Override
    public void close() {
        closed = true;
    }

    private void check() {
        if (closed) {
            return;
        }
        targets.forEach(this::check);
        client.getIoThread().executeAfter(this::check, CHECK_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(HttpTarget target) {
        BodyCollector collector = new BodyCollector();
        collector.getFuture().whenComplete((response, error) -> {
            boolean good = error == null && response.status() == StatusCodes.OK;
            setReady(target, good);
        });
        client.get(target, "/health/ready", Map.of(), collector);
    }

    private synchronized void setReady(HttpTarget target, boolean good) {
        List<HttpTarget> changed = new ArrayList<>(ready);
        if (good && !changed.contains(target) && targets.contains(target)) {
            changed.add(target);
        } else if (!good) {
            changed.remove(target);
        }
        ready = List.copyOf(changed);
    }
}
