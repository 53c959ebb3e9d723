package org.fuchsiawharf.core.loop;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.concurrent.TimeUnit;

import com.lmax.disruptor.BlockingWaitStrategy;
import com.lmax.disruptor.EventHandler;
import com.lmax.disruptor.TimeoutException;
import com.lmax.disruptor.dsl.Disruptor;
import com.lmax.disruptor.dsl.ProducerType;
import org.fuchsiawharf.core.port.Event;
import org.fuchsiawharf.core.port.EventSink;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.core.util.FatalErrors;
import org.jspecify.annotations.Nullable;

/**
 * Event loop that runs an instance's decisions on one thread.
 *
 * <p>Any thread may publish events with {@link #publish}; the loop processes them in order. A second thread waits
 * until the next timer is due and then publishes an event. An event whose processing fails, with an exception or an
 * error, is logged, and the next one is processed, unless {@link FatalErrors} ends the process. Thread-safe.
 */
public final class DecisionLoop implements EventSink, AutoCloseable {
    private static final Logger LOG = System.getLogger(DecisionLoop.class.getName());
    private static final int RING_SIZE = 16_384;
    private static final long STOP_TIMEOUT_MILLIS = 2_000;

    private final Disruptor<Slot> disruptor;
    private final EventProcessor processor;
    private final Clock clock;
    private final TimerThread timerThread;

    /**
     * Creates a loop that {@link #start} starts.
     *
     * @param name the suffix of the thread names, not null
     * @param processor the processor of the events, not null
     * @param clock the clock, not null
     */
    public DecisionLoop(String name, EventProcessor processor, Clock clock) {
        this.processor = processor;
        this.clock = clock;
        this.disruptor = new Disruptor<>(
                Slot::new,
                RING_SIZE,
                task -> newDaemonThread(task, "decisions-" + name),
                ProducerType.MULTI,
                new BlockingWaitStrategy());
        EventHandler<Slot> handler = (slot, sequence, endOfBatch) -> processSlot(slot, endOfBatch);
        disruptor.handleEventsWith(handler);
        this.timerThread = new TimerThread(name, clock, this);
    }

    /** Starts the event thread and the timer thread. */
    public void start() {
        disruptor.start();
        timerThread.start();
    }

    @Override
    public void publish(Event event) {
        disruptor.publishEvent((slot, sequence, value) -> slot.event = value, event);
    }

    @Override
    public void close() {
        timerThread.stop();
        try {
            disruptor.shutdown(STOP_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        } catch (TimeoutException e) {
            disruptor.halt();
        }
    }

    private void processSlot(Slot slot, boolean endOfBatch) {
        Event event = slot.event;
        slot.event = null;
        if (event == null) {
            return;
        }
        try {
            processor.process(event, clock.nanos());
        } catch (Throwable e) {
            // The thread must survive errors as well: nothing would process the events that follow.
            logFailure(event.getClass().getSimpleName(), e);
        }
        if (endOfBatch) {
            timerThread.wakeAt(processor.getNextDue());
        }
    }

    static void logFailure(String kind, Throwable failure) {
        FatalErrors.check(failure);
        try {
            LOG.log(Level.ERROR, "decision failed on " + kind, failure);
        } catch (OutOfMemoryError e) {
            // No memory is left for the line.
            FatalErrors.check(e);
        }
    }

    private static Thread newDaemonThread(Runnable task, String name) {
        Thread thread = new Thread(task, name);
        thread.setDaemon(true);
        return thread;
    }

    private static final class Slot {
        private @Nullable Event event;
    }
}
