package org.fuchsiawharf.core.port;

import java.util.Locale;

/**
 * Why a stage call has no answer.
 *
 * <p>Immutable and thread-safe.
 */
public enum CallFailure {
    /** No byte of the call left: the connection was never established. */
    NOT_SENT(false),
    /** The endpoint refused it before work, as overloaded. */
    REFUSED(false),
    /** The endpoint refused it before work, as leaving. */
    LEAVING(false),
    /** The endpoint refused it before work, because results of earlier stages that it needs are gone. */
    INPUTS_GONE(false),
    /** The endpoint does not know the attempt that the call wanted to rejoin. */
    RUN_GONE(true),
    /** The connection broke after bytes had left. */
    LOST(true),
    /** The answer is not what the protocol allows. */
    GARBAGE(true),
    /** The endpoint answered that it failed. */
    ERROR(true),
    /** No answer came within the attempt's time limit. */
    TIMEOUT(true);

    private final boolean effectPossible;

    CallFailure(boolean effectPossible) {
        this.effectPossible = effectPossible;
    }

    /**
     * Tells whether the call may have taken effect.
     *
     * @return false only if it is proved that no work began
     */
    public boolean isEffectPossible() {
        return effectPossible;
    }

    /**
     * Gets the form for logs, such as {@code not_sent}.
     *
     * @return the lower-case name, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
