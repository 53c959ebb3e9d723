package org.fuchsiawharf.core.port;

import java.util.Locale;

/**
 * The reason why a call failed.
 *
 * <p>Immutable and thread-safe.
 */
public enum CallFailure {
    /** The connection was never established, so no byte of the call was sent. */
    NOT_SENT(false),
    /** The endpoint rejected the call before any work because it was overloaded. */
    REFUSED(false),
    /** The endpoint rejected the call before any work because it was draining. */
    LEAVING(false),
    /** The endpoint rejected the call before any work because it no longer held required results of earlier stages. */
    INPUTS_GONE(false),
    /** The endpoint has no record of the run that the call tried to rejoin. */
    RUN_GONE(true),
    /** The connection broke after bytes of the call had been sent. */
    LOST(true),
    /** The response violated the protocol. */
    GARBAGE(true),
    /** The endpoint returned an error. */
    ERROR(true),
    /** No response arrived within the attempt's timeout. */
    TIMEOUT(true);

    private final boolean mayHaveRun;

    CallFailure(boolean mayHaveRun) {
        this.mayHaveRun = mayHaveRun;
    }

    /**
     * Checks whether the call may have run.
     *
     * @return false only if the call certainly did not run
     */
    public boolean mayHaveRun() {
        return mayHaveRun;
    }

    /**
     * Gets the name used in logs, such as {@code not_sent}.
     *
     * @return the name in lower case, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
