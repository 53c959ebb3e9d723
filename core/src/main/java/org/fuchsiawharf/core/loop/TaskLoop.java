package org.fuchsiawharf.core.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Executor that runs tasks and timers sequentially on a decision loop.
 *
 * <p>While a timer is scheduled, a pause of the whole process, such as a suspension of its machine, is detected before
 * any task or timer that became due during the pause is run. Any thread may submit tasks; all other methods are
 * confined to the loop.
 */
public final class TaskLoop implements Executor, AutoCloseable {
    /**
     * Lateness of a timer or duration of a suspension above which the process counts as paused; garbage collection
     * stays far below.
     */
    private static final long PAUSE_THRESHOLD_NANOS = 400_000_000L;

    private final DecisionLoop loop;
    private final TimerService timers;
    private final List<LongConsumer> pauseListeners = new ArrayList<>();
    private long lastWallMillis = System.currentTimeMillis();
    private long lastNanos;
    private long maxDelayNanos;

    /**
     * Creates a loop that {@link #start} starts.
     *
     * @param name the suffix of the thread names, not null
     * @param clock the clock, not null
     */
    public TaskLoop(String name, Clock clock) {
        this.timers = new TimerService(clock.nanos());
        this.lastNanos = clock.nanos();
        this.loop = new DecisionLoop(name, new Processor(), clock);
    }

    /** Starts the loop. */
    public void start() {
        loop.start();
    }

    /**
     * Gets the timer service; to be used on the loop, or before it starts.
     *
     * @return the timer service, never null
     */
    public TimerService getTimers() {
        return timers;
    }

    /**
     * Adds a listener for pauses of the process; to be called before the loop starts.
     *
     * @param listener receives the duration of each pause, in nanoseconds, not null
     */
    public void addPauseListener(LongConsumer listener) {
        pauseListeners.add(listener);
    }

    /**
     * Gets the longest time by which a timer was late since the last call; to be called on the loop.
     *
     * @return the delay, in nanoseconds
     */
    public long takeMaxDelayNanos() {
        long delayNanos = maxDelayNanos;
        maxDelayNanos = 0;
        return delayNanos;
    }

    @Override
    public void execute(Runnable task) {
        loop.publish(new Event.Task(task));
    }

    @Override
    public void close() {
        loop.close();
    }

    private final class Processor implements EventProcessor {
        @Override
        public void process(Event event, long nowNanos) {
            try {
                runTimers(nowNanos);
            } catch (Throwable e) {
                // The event has nothing to do with the timers that are due and must not be lost with them.
                DecisionLoop.logFailure("timer", e);
            }
            if (event instanceof Event.Task task) {
                task.action().run();
            }
        }

        private void runTimers(long nowNanos) {
            long lateNanos = nowNanos - timers.getNextDue();
            maxDelayNanos = Math.max(maxDelayNanos, lateNanos);
            long pausedNanos = Math.max(lateNanos, measureSuspensionNanos(nowNanos));
            if (timers.getNextDue() != TimerService.NEVER && pausedNanos > PAUSE_THRESHOLD_NANOS) {
                pauseListeners.forEach(listener -> listener.accept(pausedNanos));
            }
            timers.advance(nowNanos);
        }

        // The monotonic clock stops while the machine is suspended; the wall clock does not.
        private long measureSuspensionNanos(long nowNanos) {
            long nowWallMillis = System.currentTimeMillis();
            long suspendedNanos = (nowWallMillis - lastWallMillis) * 1_000_000L - (nowNanos - lastNanos);
            lastWallMillis = nowWallMillis;
            lastNanos = nowNanos;
            return suspendedNanos;
        }

        @Override
        public long getNextDue() {
            return timers.getNextDue();
        }
    }
}
