package org.fuchsiawharf.relay;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.util.FatalErrors;
import org.jspecify.annotations.Nullable;

/**
 * Writes the warnings of libraries and of the decision loop to the decision log.
 *
 * <p>Netty catches what a task of the I/O thread or a listener of a future throws, and reports it as a warning only.
 * Thread-safe.
 */
public final class FailureLogHandler extends Handler {
    private final DecisionLog log;

    /**
     * Creates a handler that {@link #install} installs.
     *
     * @param log receives the lines, not null
     */
    public FailureLogHandler(DecisionLog log) {
        this.log = log;
    }

    /** Installs the handler for all loggers of the process. */
    public void install() {
        Logger.getLogger("").addHandler(this);
    }

    /** Removes the handler from all loggers of the process. */
    public void remove() {
        Logger.getLogger("").removeHandler(this);
    }

    // -----------------------------------------------------------------------

    @Override
    public void publish(LogRecord entry) {
        if (entry.getLevel().intValue() >= Level.WARNING.intValue()) {
            if (entry.getThrown() != null) {
                FatalErrors.check(entry.getThrown());
            }
            log.write(
                    "instance.failure",
                    "source",
                    entry.getLoggerName(),
                    "detail",
                    entry.getMessage(),
                    "cause",
                    describe(entry.getThrown()));
        }
    }

    private static @Nullable String describe(@Nullable Throwable failure) {
        return failure == null ? null : Failures.describe(failure);
    }

    @Override
    public void flush() {}

    @Override
    public void close() {}
}
