package org.fuchsiawharf.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs scheduled tasks when they are due.
 *
 * <p>The owner advances the time with {@link #advance}; components schedule tasks with {@link #schedule}. All tasks
 * run on the owner's thread, in the order of their due times. The time is constant during one advance, so that tests
 * and simulations are reproducible.
 *
 * <pre>
 * Timer timer = timers.schedule(timers.now() + delayNanos, this::expire);
 * timer.cancel();
 * </pre>
 *
 * <p>Confined to one thread.
 */
public final class TimerService {
    /** The due time reported when no task is scheduled. */
    public static final long NEVER = Long.MAX_VALUE;

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.<Timer>comparingLong(t -> t.due).thenComparingLong(t -> t.sequence));
    private long now;
    private long nextSequence;

    /**
     * Creates a timer service.
     *
     * @param startNanos the initial time, in nanoseconds on the owner's clock
     */
    public TimerService(long startNanos) {
        now = startNanos;
    }

    /**
     * Gets the time of the latest advance.
     *
     * @return the time, in nanoseconds on the owner's clock
     */
    public long now() {
        return now;
    }

    /**
     * Gets the due time of the next task.
     *
     * @return the due time, in nanoseconds on the owner's clock, {@link #NEVER} if no task is scheduled
     */
    public long getNextDue() {
        removeCancelled();
        Timer head = queue.peek();
        return head == null ? NEVER : head.due;
    }

    /**
     * Schedules a task.
     *
     * @param dueNanos the due time, in nanoseconds on the owner's clock; a past time means the next advance
     * @param task the task, not null
     * @return the timer, by which the task can be cancelled, never null
     */
    public Timer schedule(long dueNanos, Runnable task) {
        Timer timer = new Timer(dueNanos, nextSequence++, task);
        queue.add(timer);
        return timer;
    }

    /**
     * Advances the time and runs every task that is due.
     *
     * @param nowNanos the new time, in nanoseconds on the owner's clock; ignored if earlier than the current time
     */
    public void advance(long nowNanos) {
        if (nowNanos > now) {
            now = nowNanos;
        }
        while (getNextDue() <= now) {
            Timer timer = queue.remove();
            timer.cancelled = true;
            timer.task.run();
        }
    }

    private void removeCancelled() {
        while (!queue.isEmpty() && queue.peek().cancelled) {
            queue.remove();
        }
    }

    /**
     * A scheduled task.
     *
     * <p>Confined to the service's thread.
     */
    public static final class Timer {
        private final long due;
        private final long sequence;
        private final Runnable task;
        private boolean cancelled;

        private Timer(long due, long sequence, Runnable task) {
            this.due = due;
            this.sequence = sequence;
            this.task = task;
        }

        /** Cancels the task; has no effect if the task has already run. */
        public void cancel() {
            cancelled = true;
        }
    }
}
