package org.fuchsiawharf.core.util;

import java.util.function.Consumer;

import org.jspecify.annotations.Nullable;

/**
 * Tells failed allocations from other failures, and passes them to a handler that ends the process.
 *
 * <p>After a failed allocation, any state may be incomplete, and the next allocation may fail as well. Without a handler,
 * as in a program that embeds an instance, nothing ends. Thread-safe.
 */
public final class FatalErrors {
    /** Causes that are searched; decoders wrap what they catch once or twice. */
    private static final int MAX_CAUSES = 8;

    private static volatile @Nullable Consumer<Throwable> handler;

    private FatalErrors() {}

    /**
     * Sets the handler of failed allocations.
     *
     * @param newHandler ends the process, called on any thread, null for none
     */
    public static void setHandler(@Nullable Consumer<Throwable> newHandler) {
        handler = newHandler;
    }

    /**
     * Calls the handler if a failure is a failed allocation, or was caused by one.
     *
     * @param failure what was caught, not null
     */
    public static void check(Throwable failure) {
        Consumer<Throwable> current = handler;
        Throwable cause = failure;
        for (int i = 0; current != null && cause != null && i < MAX_CAUSES; i++) {
            if (cause instanceof OutOfMemoryError) {
                current.accept(cause);
                return;
            }
            cause = cause.getCause();
        }
    }
}
