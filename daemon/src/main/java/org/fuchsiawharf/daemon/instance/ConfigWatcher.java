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
 * Follows the configuration in the key-value service on a thread of its own.
 *
 * <p>Reports only higher revisions, and nothing while the service can't be reached: what is in force stays so.
 * Thread-safe.
 */
final class ConfigWatcher implements AutoCloseable {
    private static final Logger LOG = System.getLogger(ConfigWatcher.class.getName());
    private static final long WAIT_MILLIS = 10_000;
    private static final long MIN_PAUSE_MILLIS = 200;
    private static final long MAX_PAUSE_MILLIS = 1_000;

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
        LoadedConfig known = null;
        while (!closed) {
            LoadedConfig next = next(known);
            if (next == null) {
                pause();
            } else if (known == null || next.revision() > known.revision()) {
                known = next;
                report(next);
            }
        }
    }

    private @Nullable LoadedConfig next(@Nullable LoadedConfig known) {
        try {
            return known == null ? service.load() : service.watch(known, WAIT_MILLIS);
        } catch (WharfException e) {
            LOG.log(Level.ERROR, "configuration can't be read: " + e.getMessage());
            return null;
        }
    }

    private void report(LoadedConfig loaded) {
        try {
            receiver.accept(loaded.toConfig());
        } catch (WharfException e) {
            LOG.log(Level.ERROR, "configuration revision " + loaded.revision() + " is malformed: " + e.getMessage());
        }
    }

    private void pause() {
        try {
            TimeUnit.MILLISECONDS.sleep(random.nextLong(MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
