package org.fuchsiawharf.core.loop;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Sleeps until the next timer is due and publishes an event then.
 *
 * <p>Thread-safe.
 */
final class TimerThread {
    private static final long IDLE_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final EventSink sink;
    private final Thread thread;
    private final AtomicLong due = new AtomicLong(TimerService.NEVER);
    private volatile boolean running = true;

    TimerThread(String name, Clock clock, EventSink sink) {
        this.clock = clock;
        this.sink = sink;
        this.thread = new Thread(this::run, "timers-" + name);
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    void stop() {
        running = false;
        LockSupport.unpark(thread);
    }

    /**
     * Sets when the thread wakes next.
     *
     * @param dueNanos the time, {@link TimerService#NEVER} for no timer
     */
    void wakeAt(long dueNanos) {
        if (due.getAndSet(dueNanos) > dueNanos) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (running) {
            long wait = due.get() - clock.nanos();
            if (wait <= 0) {
                due.set(TimerService.NEVER);
                sink.publish(new Event.TimerDue());
            } else {
                LockSupport.parkNanos(this, Math.min(wait, IDLE_NANOS));
            }
        }
    }
}
