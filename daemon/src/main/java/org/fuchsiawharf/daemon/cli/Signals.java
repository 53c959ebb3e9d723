package org.fuchsiawharf.daemon.cli;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicInteger;

import sun.misc.Signal;

/**
 * Tells a daemon of the signals that ask it to stop.
 *
 * <p>Thread-safe.
 */
final class Signals {
    private final CountDownLatch first = new CountDownLatch(1);
    private final AtomicInteger count = new AtomicInteger();

    private Signals(Runnable onSecond) {
        Signal.handle(new Signal("TERM"), signal -> onSignal(onSecond));
        Signal.handle(new Signal("INT"), signal -> onSignal(onSecond));
    }

    /**
     * Takes over SIGTERM and SIGINT.
     *
     * @param onSecond runs at the second signal, not null
     * @return the signals, never null
     */
    static Signals handle(Runnable onSecond) {
        return new Signals(onSecond);
    }

    /** Waits for the first signal. */
    void awaitFirst() {
        try {
            first.await();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void onSignal(Runnable onSecond) {
        if (count.incrementAndGet() == 2) {
            onSecond.run();
        }
        first.countDown();
    }
}
