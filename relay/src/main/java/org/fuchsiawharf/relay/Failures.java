package org.fuchsiawharf.relay;

/**
 * Describes exceptions and errors for log lines.
 *
 * <p>Stateless and thread-safe.
 */
public final class Failures {
    private Failures() {}

    /**
     * Describes a failure by its class, its message and the method that threw it.
     *
     * @param failure the exception or error, not null
     * @return the description, never null
     */
    public static String describe(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        return trace.length == 0 ? failure.toString() : failure + " at " + trace[0];
    }
}
