package org.fuchsiawharf.standin;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;

import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

/**
 * Threads shared by the simulated endpoints and the simulated platform of one process.
 *
 * <p>Thread-safe.
 */
public final class StandinRuntime implements AutoCloseable {
    private static final int IO_THREADS = 4;
    private static final int MODEL_THREADS = 2;
    private static final int MAX_WAITING_WATCHES = 48;

    private final XnioWorker worker;
    private final ScheduledExecutorService scheduler;

    /** Starts the I/O, task and scheduler threads. */
    public StandinRuntime() {
        scheduler = Executors.newScheduledThreadPool(MODEL_THREADS, task -> {
            Thread thread = new Thread(task, "standin-models");
            thread.setDaemon(true);
            return thread;
        });
        try {
            worker = Xnio.getInstance()
                    .createWorker(OptionMap.builder()
                            .set(Options.WORKER_NAME, "standin")
                            .set(Options.WORKER_IO_THREADS, IO_THREADS)
                            .set(Options.WORKER_TASK_CORE_THREADS, MAX_WAITING_WATCHES)
                            .set(Options.WORKER_TASK_MAX_THREADS, MAX_WAITING_WATCHES)
                            .set(Options.THREAD_DAEMON, true)
                            .set(Options.TCP_NODELAY, true)
                            .getMap());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    XnioWorker getWorker() {
        return worker;
    }

    ScheduledExecutorService getScheduler() {
        return scheduler;
    }

    @Override
    public void close() {
        scheduler.shutdownNow();
        worker.shutdownNow();
    }
}
