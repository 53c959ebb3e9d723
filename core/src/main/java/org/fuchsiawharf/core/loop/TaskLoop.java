package org.fuchsiawharf.core.loop;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.function.LongConsumer;

import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Runs tasks and timers one after the other on a decision loop.
 *
 * <p>Notices when the whole process stood still, as after a freeze of its machine, before any task or timer runs
 * that became due meanwhile. Tasks may be handed in from any thread; everything else is confined to the loop.
 */
public final class TaskLoop implements Executor, AutoCloseable {
    /** A loop that runs a due timer so much later stood still; far above a garbage collection. */
    private static final long STANDSTILL_NANOS = 400_000_000L;

    private final DecisionLoop loop;
    private final TimerService timers;
    private final List<LongConsumer> standstillListeners = new ArrayList<>();
    private long wallMillis = System.currentTimeMillis();
    private long lastNanos;

    /**
     * Creates a loop; {@link #start} runs it.
     *
     * @param name the name of its threads, not null
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
     * Gets the timers; used on the loop, or before it starts.
     *
     * @return the timer service, never null
     */
    public TimerService getTimers() {
        return timers;
    }

    /**
     * Adds a listener for standstills; called before the loop starts.
     *
     * @param listener hears how long the process stood still, in nanoseconds, not null
     */
    public void onStandstill(LongConsumer listener) {
        standstillListeners.add(listener);
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
            long stood = Math.max(nowNanos - timers.getNextDue(), suspendedNanos(nowNanos));
            if (timers.getNextDue() != TimerService.NEVER && stood > STANDSTILL_NANOS) {
                standstillListeners.forEach(listener -> listener.accept(stood));
            }
            timers.advance(nowNanos);
            if (event instanceof Event.Task task) {
                task.action().run();
            }
        }

        // The steady clock does not count a suspension of the machine, but the time of day does.
        private long suspendedNanos(long nowNanos) {
            long wall = System.currentTimeMillis();
            long suspended = (wall - wallMillis) * 1_000_000L - (nowNanos - lastNanos);
            wallMillis = wall;
            lastNanos = nowNanos;
            return suspended;
        }

        @Override
        public long getNextDue() {
            return timers.getNextDue();
        }
    }
}
