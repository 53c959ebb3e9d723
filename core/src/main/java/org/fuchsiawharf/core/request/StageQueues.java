package org.fuchsiawharf.core.request;

import java.util.HashMap;
import java.util.Map;

import org.fuchsiawharf.core.limits.QueueWaitEstimator;
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
    private final Map<String, ServiceQueue> byService = new HashMap<>();
    private final Map<String, Integer> upstreamCounts = new HashMap<>();

    StageQueues(int capacity) {
        this.capacity = capacity;
    }

    ServiceQueue get(String service) {
        return byService.computeIfAbsent(
                service, s -> new ServiceQueue(new StageQueue<>(capacity), new QueueWaitEstimator()));
    }

    Map<String, ServiceQueue> getAll() {
        return byService;
    }

    int getSize() {
        int size = 0;
        for (ServiceQueue serviceQueue : byService.values()) {
            size += serviceQueue.queue().size();
        }
        return size;
    }

    /**
     * Gets the expected total queueing time of a new request.
     *
     * <p>The estimate for a service counts the queued requests ahead of the new one and the requests at earlier stages
     * that will reach the service. The lower bound is the age of the oldest queued request of the same priority, which
     * accounts for low-priority requests that are overtaken.
     *
     * @param pipeline the pipeline, not null
     * @param priority the priority of the request, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the time in nanoseconds
     */
    double getWaitNanos(Pipeline pipeline, Priority priority, long nowNanos) {
        double wait = 0;
        for (StageSpec stage : pipeline.stages()) {
            ServiceQueue serviceQueue = byService.get(stage.service());
            if (serviceQueue != null && serviceQueue.queue().size() > 0) {
                int ahead = serviceQueue.queue().countAhead(priority) + upstreamCounts.getOrDefault(stage.service(), 0);
                long oldestNanos = serviceQueue.queue().getOldestEnqueueNanos(priority);
                double observedWait = oldestNanos == Long.MAX_VALUE ? 0 : nowNanos - oldestNanos;
                wait += Math.max(observedWait, serviceQueue.waitEstimator().getWaitNanos(ahead));
            }
        }
        return wait;
    }

    /**
     * Adds an admitted request to the upstream counts of its later stages' services.
     *
     * @param active the request at its first stage, not null
     */
    void onAdmitted(ActiveRequest active) {
        addLaterStages(active, 1);
    }

    /**
     * Removes a request from the upstream count of the service of its current stage.
     *
     * @param active the request, which has just reached its current stage, not null
     */
    void onStageReached(ActiveRequest active) {
        upstreamCounts.merge(active.stageSpec().service(), -1, Integer::sum);
    }

    /**
     * Removes an ended request from the upstream counts of the stages that it did not reach.
     *
     * @param active the request at the last stage that it reached, not null
     */
    void onEnded(ActiveRequest active) {
        addLaterStages(active, -1);
    }

    private void addLaterStages(ActiveRequest active, int delta) {
        for (int i = active.stage + 1; i < active.pipeline().stages().size(); i++) {
            upstreamCounts.merge(active.pipeline().stages().get(i).service(), delta, Integer::sum);
        }
    }

    /**
     * The queue of a service and the estimator of its wait.
     *
     * @param queue the queue
     * @param waitEstimator the estimator of the wait in the queue
     */
    record ServiceQueue(StageQueue<ActiveRequest> queue, QueueWaitEstimator waitEstimator) {}
}
