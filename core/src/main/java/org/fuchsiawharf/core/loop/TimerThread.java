package org.fuchsiawharf.core.loop;

import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.core.time.TimerService;

/**
 * Thread that waits until the next timer is due and then publishes an event.
 *
 * <p>Thread-safe.
 */
final class TimerThread {
    private static final long MAX_PARK_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final EventSink sink;
    private final Thread thread;
    private final AtomicLong nextDue = new AtomicLong(TimerService.NEVER);
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
     * Sets the next wake-up time of the thread.
     *
     * @param dueNanos the due time of the next timer, in nanoseconds, {@link TimerService#NEVER} for none
     */
    void wakeAt(long dueNanos) {
        if (nextDue.getAndSet(dueNanos) > dueNanos) {
            LockSupport.unpark(thread);
        }
    }

    private void run() {
        while (running) {
            long waitNanos = nextDue.get() - clock.nanos();
            if (waitNanos <= 0) {
                nextDue.set(TimerService.NEVER);
                sink.publish(new Event.TimerDue());
            } else {
                LockSupport.parkNanos(this, Math.min(waitNanos, MAX_PARK_NANOS));
            }
        }
    }
}
