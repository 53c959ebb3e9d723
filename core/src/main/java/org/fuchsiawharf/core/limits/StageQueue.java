package org.fuchsiawharf.core.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;

import org.fuchsiawharf.core.model.Priority;
import org.fuchsiawharf.core.model.Workspace;
import org.jspecify.annotations.Nullable;

/**
 * A bounded queue of requests that wait for an endpoint of one service.
 *
 * <p>Entries with a higher priority are first. Within a priority, workspaces are served in proportion to their weights
 * (weighted fair queuing); within a workspace, the entry with the earliest deadline is first. Confined to the decision
 * loop.
 *
 * @param <T> the type of the entries
 */
public final class StageQueue<T> {
    private final int capacity;
    private final Map<Priority, Map<String, WorkspaceQueue<T>>> queuesByPriority = new HashMap<>();
    private double virtualTime;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param capacity the maximum number of entries
     */
    public StageQueue(int capacity) {
        this.capacity = capacity;
        for (Priority priority : Priority.values()) {
            queuesByPriority.put(priority, new HashMap<>());
        }
    }

    /**
     * Gets the number of entries.
     *
     * @return the count
     */
    public int size() {
        return size;
    }

    /**
     * Counts the entries ahead of a new entry with a priority.
     *
     * @param priority the priority, not null
     * @return the number of entries with that priority or a higher one
     */
    public int countAhead(Priority priority) {
        int count = 0;
        for (Map.Entry<Priority, Map<String, WorkspaceQueue<T>>> byPriority : queuesByPriority.entrySet()) {
            if (byPriority.getKey().compareTo(priority) <= 0) {
                for (WorkspaceQueue<T> queue : byPriority.getValue().values()) {
                    count += queue.entries.size();
                }
            }
        }
        return count;
    }

    /**
     * Gets the time at which the longest waiting entry with a priority was enqueued.
     *
     * @param priority the priority, not null
     * @return the time in nanoseconds, {@link Long#MAX_VALUE} if there is no entry with the priority
     */
    public long getOldestEnqueueNanos(Priority priority) {
        long oldest = Long.MAX_VALUE;
        for (WorkspaceQueue<T> queue : queuesOf(priority).values()) {
            for (Entry<T> entry : queue.entries) {
                oldest = Math.min(oldest, entry.enqueuedNanos());
            }
        }
        return oldest;
    }

    /**
     * Adds an entry.
     *
     * @param value the entry, not null
     * @param workspace the workspace of the entry, not null
     * @param priority the priority of the entry, not null
     * @param deadlineNanos the deadline of the entry, in nanoseconds
     * @param enqueuedNanos the time at which the entry was enqueued, in nanoseconds
     * @return false if the queue is full
     */
    public boolean offer(T value, Workspace workspace, Priority priority, long deadlineNanos, long enqueuedNanos) {
        if (size >= capacity) {
            return false;
        }
        WorkspaceQueue<T> queue =
                queuesOf(priority).computeIfAbsent(workspace.name(), n -> new WorkspaceQueue<>(virtualTime));
        queue.weight = workspace.weight();
        queue.entries.add(new Entry<>(value, deadlineNanos, enqueuedNanos));
        size++;
        return true;
    }

    /**
     * Removes the first entry.
     *
     * @return the entry, null if the queue is empty
     */
    public @Nullable T poll() {
        for (Priority priority : Priority.values()) {
            Map<String, WorkspaceQueue<T>> byWorkspace = queuesOf(priority);
            String next = nextWorkspace(byWorkspace);
            if (next != null) {
                return pollFrom(byWorkspace, next);
            }
        }
        return null;
    }

    /**
     * Removes an entry at any position.
     *
     * @param value the entry, not null
     * @return false if it is not in the queue
     */
    public boolean remove(T value) {
        for (Map<String, WorkspaceQueue<T>> byWorkspace : queuesByPriority.values()) {
            for (Map.Entry<String, WorkspaceQueue<T>> queue : byWorkspace.entrySet()) {
                if (queue.getValue().entries.removeIf(entry -> entry.value() == value)) {
                    size--;
                    if (queue.getValue().entries.isEmpty()) {
                        byWorkspace.remove(queue.getKey());
                    }
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Gets all entries, in no particular order.
     *
     * @return a new list, never null
     */
    public List<T> toList() {
        List<T> all = new ArrayList<>();
        for (Map<String, WorkspaceQueue<T>> byWorkspace : queuesByPriority.values()) {
            byWorkspace.values().forEach(queue -> queue.entries.forEach(entry -> all.add(entry.value())));
        }
        return all;
    }

    private Map<String, WorkspaceQueue<T>> queuesOf(Priority priority) {
        return queuesByPriority.computeIfAbsent(priority, p -> new HashMap<>());
    }

    private static <T> @Nullable String nextWorkspace(Map<String, WorkspaceQueue<T>> byWorkspace) {
        String next = null;
        double minVirtualTime = Double.MAX_VALUE;
        for (Map.Entry<String, WorkspaceQueue<T>> queue : byWorkspace.entrySet()) {
            if (queue.getValue().virtualTime < minVirtualTime) {
                minVirtualTime = queue.getValue().virtualTime;
                next = queue.getKey();
            }
        }
        return next;
    }

    private @Nullable T pollFrom(Map<String, WorkspaceQueue<T>> byWorkspace, String workspace) {
        WorkspaceQueue<T> queue = byWorkspace.get(workspace);
        if (queue == null) {
            return null;
        }
        Entry<T> entry = queue.entries.remove();
        virtualTime = Math.max(virtualTime, queue.virtualTime);
        queue.virtualTime += 1.0 / queue.weight;
        size--;
        if (queue.entries.isEmpty()) {
            byWorkspace.remove(workspace);
        }
        return entry.value();
    }

    private record Entry<T>(T value, long deadlineNanos, long enqueuedNanos) {}

    private static final class WorkspaceQueue<T> {
        private final PriorityQueue<Entry<T>> entries =
                new PriorityQueue<>(Comparator.comparingLong((Entry<T> e) -> e.deadlineNanos()));
        private double virtualTime;
        private int weight = 1;

        private WorkspaceQueue(double virtualTime) {
            this.virtualTime = virtualTime;
        }
    }
}
