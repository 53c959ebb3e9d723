package org.fuchsiawharf.core.request;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.limits.DepartureRate;
import org.fuchsiawharf.core.limits.StageQueue;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.StageSpec;

/**
 * The queues of requests waiting for endpoints, one for each service.
 *
 * <p>A request is in at most one queue. Confined to the decision loop.
 */
final class StageQueues {
    private final int capacity;
    private final Map<String, Waiting> byService = new HashMap<>();
    private final Map<String, Integer> upstream = new HashMap<>();

    StageQueues(int capacity) {
        this.capacity = capacity;
    }

    Waiting get(String service) {
        return byService.computeIfAbsent(service, s -> new Waiting(new StageQueue<>(capacity), new DepartureRate()));
    }

    Map<String, Waiting> getAll() {
        return byService;
    }

    int getSize() {
        int size = 0;
        for (Waiting waiting : byService.values()) {
            size += waiting.queue().size();
        }
        return size;
    }

    /**
     * Gets the expected wait of a new request in all queues on its way.
     *
     * <p>Counts what waits before it and what is still in earlier stages on the way to the same service. It is at
     * least as long as the oldest request of the same priority has waited already, which shows a low priority that
     * others overtake.
     *
     * @param pipeline the pipeline, not null
     * @param priority the request's priority, not null
     * @param nowNanos the time
     * @return nanoseconds
     */
    double getWaitNanos(Pipeline pipeline, Priority priority, long nowNanos) {
        double wait = 0;
        for (StageSpec stage : pipeline.stages()) {
            Waiting waiting = byService.get(stage.service());
            if (waiting != null && waiting.queue().size() > 0) {
                int ahead = waiting.queue().countAhead(priority) + upstream.getOrDefault(stage.service(), 0);
                long oldest = waiting.queue().getOldestNanos(priority);
                double shown = oldest == Long.MAX_VALUE ? 0 : nowNanos - oldest;
                wait += Math.max(shown, waiting.rate().getWaitNanos(ahead));
            }
        }
        return wait;
    }

    /**
     * Counts an admitted request towards the services of its later stages.
     *
     * @param active the request at its first stage, not null
     */
    void onAdmitted(ActiveRequest active) {
        addLaterStages(active, 1);
    }

    /**
     * Counts a request that has reached its present stage.
     *
     * @param active the request, not null
     */
    void onStageReached(ActiveRequest active) {
        upstream.merge(active.stageSpec().service(), -1, Integer::sum);
    }

    /**
     * Stops counting an admitted request that ends.
     *
     * @param active the request at its last reached stage, not null
     */
    void onEnded(ActiveRequest active) {
        addLaterStages(active, -1);
    }

    private void addLaterStages(ActiveRequest active, int delta) {
        for (int i = active.stage + 1; i < active.pipeline().stages().size(); i++) {
            upstream.merge(active.pipeline().stages().get(i).service(), delta, Integer::sum);
        }
    }

    /**
     * One service's queue and how fast it moves.
     *
     * @param queue the queue
     * @param rate its rate
     */
    record Waiting(StageQueue<ActiveRequest> queue, DepartureRate rate) {}
}
