package org.fuchsiawharf.daemon.instance;

import java.lang.System.Logger;
import java.lang.System.Logger.Level;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import org.fuchsiawharf.core.config.ConfigService;
import org.fuchsiawharf.core.config.ConfigService.LoadedConfig;
import org.fuchsiawharf.core.error.WharfException;
import org.fuchsiawharf.core.model.ServingConfig;
import org.jspecify.annotations.Nullable;

/**
 * Watches the configuration in the key-value service on a dedicated thread.
 *
 * <p>Only higher revisions are passed to the receiver. While the service is unreachable, the configuration in force
 * stays unchanged. Thread-safe.
 */
final class ConfigWatcher implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ConfigWatcher.class.getName());
    private static final long WATCH_TIMEOUT_MILLIS = 10_000;
    private static final long MIN_RETRY_DELAY_MILLIS = 200;
    private static final long MAX_RETRY_DELAY_MILLIS = 1_000;

    private final ConfigService service;
    private final Consumer<ServingConfig> receiver;
    private final Thread thread;
    private final SplittableRandom random = new SplittableRandom();
    private volatile boolean closed;

    ConfigWatcher(String name, ConfigService service, Consumer<ServingConfig> receiver) {
        this.service = service;
        this.receiver = receiver;
        this.thread = new Thread(this::run, "config-" + name);
        this.thread.setDaemon(true);
    }

    void start() {
        thread.start();
    }

    @Override
    public void close() {
        closed = true;
        thread.interrupt();
    }

    private void run() {
        LoadedConfig current = null;
        while (!closed) {
            LoadedConfig next = loadNext(current);
            if (next == null) {
                awaitRetryDelay();
            } else if (current == null || next.revision() > current.revision()) {
                current = next;
                notifyReceiver(next);
            }
        }
    }

    private @Nullable LoadedConfig loadNext(@Nullable LoadedConfig current) {
        try {
            return current == null ? service.load() : service.watch(current, WATCH_TIMEOUT_MILLIS);
        } catch (WharfException e) {
            LOG.log(Level.ERROR, "reading the configuration failed: " + e.getMessage());
            return null;
        }
    }

    private void notifyReceiver(LoadedConfig loaded) {
        try {
            receiver.accept(loaded.toConfig());
        } catch (WharfException e) {
            LOG.log(Level.ERROR, "configuration revision " + loaded.revision() + " is malformed: " + e.getMessage());
        }
    }

    private void awaitRetryDelay() {
        try {
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_RETRY_DELAY_MILLIS, MAX_RETRY_DELAY_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
