package org.fuchsiawharf.daemon.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import sun.misc.Signal;

/**
 * Handles SIGTERM and SIGINT, the signals that request a shutdown.
 *
 * <p>Thread-safe.
 */
final class ShutdownSignals {
    private final CountDownLatch firstSignal = new CountDownLatch(1);
    private final AtomicInteger count = new AtomicInteger();

    private ShutdownSignals(Runnable onSecond) {
        Signal.handle(new Signal("TERM"), signal -> onSignal(onSecond));
        Signal.handle(new Signal("INT"), signal -> onSignal(onSecond));
    }

    /**
     * Installs handlers for SIGTERM and SIGINT.
     *
     * @param onSecond the action to run on the second signal, not null
     * @return the installed handlers, never null
     */
    static ShutdownSignals install(Runnable onSecond) {
        return new ShutdownSignals(onSecond);
    }

    /** Blocks until the first signal arrives or the thread is interrupted. */
    void awaitFirst() {
        try {
            firstSignal.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onSignal(Runnable onSecond) {
        if (count.incrementAndGet() == 2) {
            onSecond.run();
        }
        firstSignal.countDown();
    }
}
