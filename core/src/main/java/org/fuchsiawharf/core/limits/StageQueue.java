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
 * Orders requests that wait for an endpoint of one service.
 *
 * <p>A higher priority goes first. Within a priority, workspaces share by weight; within a workspace the earliest
 * deadline goes first. Holds at most its capacity. Confined to the decision loop.
 *
 * @param <T> the waiting thing
 */
public final class StageQueue<T> {
    private final int capacity;
    private final Map<Priority, Map<String, Lane<T>>> lanes = new HashMap<>();
    private double virtualTime;
    private int size;

    /**
     * Creates an empty queue.
     *
     * @param capacity the greatest number of entries
     */
    public StageQueue(int capacity) {
        this.capacity = capacity;
        for (Priority priority : Priority.values()) {
            lanes.put(priority, new HashMap<>());
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
     * Counts the entries that go before a new one of a priority.
     *
     * @param priority the priority, not null
     * @return the entries of that priority and of higher ones
     */
    public int countAhead(Priority priority) {
        int ahead = 0;
        for (Map.Entry<Priority, Map<String, Lane<T>>> byPriority : lanes.entrySet()) {
            if (byPriority.getKey().compareTo(priority) <= 0) {
                for (Lane<T> lane : byPriority.getValue().values()) {
                    ahead += lane.entries.size();
                }
            }
        }
        return ahead;
    }

    /**
     * Gets since when the longest waiting entry of a priority waits.
     *
     * @param priority the priority, not null
     * @return nanoseconds, {@link Long#MAX_VALUE} if none waits
     */
    public long getOldestNanos(Priority priority) {
        long oldest = Long.MAX_VALUE;
        for (Lane<T> lane : lanesOf(priority).values()) {
            for (Entry<T> entry : lane.entries) {
                oldest = Math.min(oldest, entry.sinceNanos());
            }
        }
        return oldest;
    }

    /**
     * Adds an entry.
     *
     * @param value the entry, not null
     * @param workspace whose share it uses, not null
     * @param priority its priority, not null
     * @param deadlineNanos its deadline
     * @param sinceNanos since when it waits
     * @return false if the queue is full
     */
    public boolean offer(T value, Workspace workspace, Priority priority, long deadlineNanos, long sinceNanos) {
        if (size >= capacity) {
            return false;
        }
        Lane<T> lane = lanesOf(priority).computeIfAbsent(workspace.name(), n -> new Lane<>(virtualTime));
        lane.weight = workspace.weight();
        lane.entries.add(new Entry<>(value, deadlineNanos, sinceNanos));
        size++;
        return true;
    }

    /**
     * Removes the entry that goes next.
     *
     * @return the entry, null if the queue is empty
     */
    public @Nullable T poll() {
        for (Priority priority : Priority.values()) {
            Map<String, Lane<T>> byWorkspace = lanesOf(priority);
            String next = nextWorkspace(byWorkspace);
            if (next != null) {
                return take(byWorkspace, next);
            }
        }
        return null;
    }

    /**
     * Removes an entry wherever it stands.
     *
     * @param value the entry, not null
     * @return false if it is not in the queue
     */
    public boolean remove(T value) {
        for (Map<String, Lane<T>> byWorkspace : lanes.values()) {
            for (Map.Entry<String, Lane<T>> lane : byWorkspace.entrySet()) {
                if (lane.getValue().entries.removeIf(entry -> entry.value() == value)) {
                    size--;
                    if (lane.getValue().entries.isEmpty()) {
                        byWorkspace.remove(lane.getKey());
                    }
                    return true;
                }
            }
        }
        return false;
    }

    /**
     * Lists every entry, in no order.
     *
     * @return a copy, never null
     */
    public List<T> toList() {
        List<T> all = new ArrayList<>();
        for (Map<String, Lane<T>> byWorkspace : lanes.values()) {
            byWorkspace.values().forEach(lane -> lane.entries.forEach(entry -> all.add(entry.value())));
        }
        return all;
    }

    private Map<String, Lane<T>> lanesOf(Priority priority) {
        return lanes.computeIfAbsent(priority, p -> new HashMap<>());
    }

    private static <T> @Nullable String nextWorkspace(Map<String, Lane<T>> byWorkspace) {
        String next = null;
        double least = Double.MAX_VALUE;
        for (Map.Entry<String, Lane<T>> lane : byWorkspace.entrySet()) {
            if (lane.getValue().virtualTime < least) {
                least = lane.getValue().virtualTime;
                next = lane.getKey();
            }
        }
        return next;
    }

    private @Nullable T take(Map<String, Lane<T>> byWorkspace, String workspace) {
        Lane<T> lane = byWorkspace.get(workspace);
        if (lane == null) {
            return null;
        }
        Entry<T> entry = lane.entries.remove();
        virtualTime = Math.max(virtualTime, lane.virtualTime);
        lane.virtualTime += 1.0 / lane.weight;
        size--;
        if (lane.entries.isEmpty()) {
            byWorkspace.remove(workspace);
        }
        return entry.value();
    }

    private record Entry<T>(T value, long deadlineNanos, long sinceNanos) {}

    private static final class Lane<T> {
        private final PriorityQueue<Entry<T>> entries =
                new PriorityQueue<>(Comparator.comparingLong((Entry<T> e) -> e.deadlineNanos()));
        private double virtualTime;
        private int weight = 1;

        private Lane(double virtualTime) {
            this.virtualTime = virtualTime;
        }
    }
}
