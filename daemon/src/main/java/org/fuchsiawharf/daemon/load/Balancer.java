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
 * A round-robin load balancer over the instances that pass their readiness check, in place of the platform's balancer.
 *
 * <p>Thread-safe.
 */
public final class Balancer implements AutoCloseable {
    private static final long CHECK_INTERVAL_MILLIS = 200;

    private final HttpClient client;
    private final AtomicInteger next = new AtomicInteger();
    private volatile List<HttpTarget> targets;
    private volatile List<HttpTarget> ready;
    private volatile boolean closed;

    /**
     * Starts a balancer that treats each instance as ready until the first check of that instance.
     *
     * @param client the HTTP client for the readiness checks, not null
     * @param targets the instances, not null
     */
    public Balancer(HttpClient client, List<HttpTarget> targets) {
        this.client = client;
        this.targets = List.copyOf(targets);
        this.ready = this.targets;
        checkAll();
    }

    /**
     * Chooses the next ready instance in round-robin order.
     *
     * @return the instance, null if no instance is ready
     */
    public @Nullable HttpTarget choose() {
        List<HttpTarget> candidates = ready;
        return candidates.isEmpty() ? null : candidates.get(Math.floorMod(next.getAndIncrement(), candidates.size()));
    }

    /**
     * Removes an instance from rotation until it passes a readiness check.
     *
     * @param target the unreachable instance, not null
     */
    public synchronized void markUnreachable(HttpTarget target) {
        List<HttpTarget> remaining = new ArrayList<>(ready);
        remaining.remove(target);
        ready = List.copyOf(remaining);
    }

    /**
     * Replaces the list of instances. A new instance is not ready until it passes a check.
     *
     * @param newTargets the new instances, not null
     */
    public synchronized void setTargets(List<HttpTarget> newTargets) {
        targets = List.copyOf(newTargets);
        ready = ready.stream().filter(newTargets::contains).toList();
    }

    /**
     * Gets the number of ready instances.
     *
     * @return the number, as of the last checks
     */
    public int getReadyCount() {
        return ready.size();
    }

    @Override
    public void close() {
        closed = true;
    }

    private void checkAll() {
        if (closed) {
            return;
        }
        targets.forEach(this::check);
        client.getIoThread().executeAfter(this::checkAll, CHECK_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
    }

    private void check(HttpTarget target) {
        BodyCollector collector = new BodyCollector();
        collector.getFuture().whenComplete((response, error) -> {
            boolean passed = error == null && response.status() == StatusCodes.OK;
            setReady(target, passed);
        });
        client.get(target, "/health/ready", Map.of(), collector);
    }

    private synchronized void setReady(HttpTarget target, boolean passed) {
        List<HttpTarget> updated = new ArrayList<>(ready);
        if (passed && !updated.contains(target) && targets.contains(target)) {
            updated.add(target);
        } else if (!passed) {
            updated.remove(target);
        }
        ready = List.copyOf(updated);
    }
}
