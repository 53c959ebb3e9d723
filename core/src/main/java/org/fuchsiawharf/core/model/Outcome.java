package org.fuchsiawharf.core.model;

import java.util.Locale;

/**
 * The outcome of a request.
 *
 * <p>Immutable and thread-safe.
 */
public enum Outcome {
    /** The caller has received the complete response. */
    ANSWERED,
    /** No stage call can have taken effect. */
    NOT_RUN,
    /** Only repeatable stage calls can have taken effect and there is no response; retrying the request is safe. */
    FAILED,
    /** A non-repeatable stage call may have taken effect; retrying the request is not safe. */
    UNKNOWN;

    /**
     * Gets the stable wire form, such as {@code not_run}.
     *
     * @return the lower-case name, never null
     */
    public String getWireName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
