package org.fuchsiawharf.core.time;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Runs tasks when their time has come.
 *
 * <p>The owner moves time forward with {@link #advance}; parts subscribe with {@link #schedule}. All tasks run on
 * the owner's thread, in the order of their due times. The time read within one advance does not change, so a
 * run can be repeated exactly.
 *
 * <pre>
 * Timer timer = timers.schedule(timers.now() + delayNanos, this::expire);
 * timer.cancel();
 * </pre>
 *
 * <p>Confined to one thread.
 */
public final class TimerService {
    /** The due time reported when nothing is scheduled. */
    public static final long NEVER = Long.MAX_VALUE;

    private final PriorityQueue<Timer> queue =
            new PriorityQueue<>(Comparator.<Timer>comparingLong(t -> t.due).thenComparingLong(t -> t.sequence));
    private long now;
    private long nextSequence;

    /**
     * Creates a service.
     *
     * @param startNanos the time to begin with, in nanoseconds
     */
    public TimerService(long startNanos) {
        now = startNanos;
    }

    /**
     * Gets the time of the current step.
     *
     * @return nanoseconds on the owner's clock
     */
    public long now() {
        return now;
    }

    /**
     * Gets when the next task is due.
     *
     * @return nanoseconds on the owner's clock, {@link #NEVER} if nothing is scheduled
     */
    public long getNextDue() {
        dropCancelled();
        Timer head = queue.peek();
        return head == null ? NEVER : head.due;
    }

    /**
     * Schedules a task.
     *
     * @param dueNanos when to run it; a past time means at the next advance
     * @param task what to run, not null
     * @return a handle to cancel it, never null
     */
    public Timer schedule(long dueNanos, Runnable task) {
        Timer timer = new Timer(dueNanos, nextSequence++, task);
        queue.add(timer);
        return timer;
    }

    /**
     * Moves time forward and runs every task that is due.
     *
     * @param nowNanos the new time; an earlier time than the present one is ignored
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

    private void dropCancelled() {
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

        /** Keeps the task from running; does nothing if it has run. */
        public void cancel() {
            cancelled = true;
        }
    }
}
