package org.fuchsiawharf.core.model;

import java.util.Locale;

/**
 * The closed set of outcomes of a request.
 *
 * <p>Immutable and thread-safe.
 */
public enum Outcome {
    /** The caller has the whole answer. */
    ANSWERED,
    /** No stage call can have taken effect. */
    NOT_RUN,
    /** Some repeatable stage ran but there is no answer; repeating the request is safe. */
    FAILED,
    /** A non-repeatable stage call may have taken effect; repeating the request is not safe. */
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
