package org.fuchsiawharf.core.request;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.limits.DepartureRate;
import org.fuchsiawharf.core.limits.StageQueue;
import org.fuchsiawharf.core.model.Pipeline;
import org.fuchsiawharf.core.model.StageSpec;

/**
 * The queues of requests waiting for endpoints, one for each service.
 *
 * <p>A request is in at most one queue. Confined to the decision loop.
 */
final class StageQueues {
    private final int capacity;
    private final Map<String, Waiting> byService = new HashMap<>();

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
     * @param pipeline the pipeline, not null
     * @return nanoseconds
     */
    double getWaitNanos(Pipeline pipeline) {
        double wait = 0;
        for (StageSpec stage : pipeline.stages()) {
            Waiting waiting = byService.get(stage.service());
            if (waiting != null) {
                wait += waiting.rate().getWaitNanos(waiting.queue().size());
            }
        }
        return wait;
    }

    /**
     * One service's queue and how fast it moves.
     *
     * @param queue the queue
     * @param rate its rate
     */
    record Waiting(StageQueue<ActiveRequest> queue, DepartureRate rate) {}
}
