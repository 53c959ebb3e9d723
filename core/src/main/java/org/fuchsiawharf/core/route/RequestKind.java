package org.fuchsiawharf.core.route;

/**
 * What may be repeated of a request.
 *
 * <p>Immutable and thread-safe.
 */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT(true, false),
    /** Runs at most once for each caller attempt. */
    NON_IDEMPOTENT(false, false),
    /** An event stream that another endpoint may resume after the last event. */
    RESUMABLE_STREAM(true, true),
    /** An event stream that runs at most once. */
    SINGLE_STREAM(false, true);

    private final boolean repeatable;
    private final boolean stream;

    RequestKind(boolean repeatable, boolean stream) {
        this.repeatable = repeatable;
        this.stream = stream;
    }

    /**
     * Tells whether a request that may have run may be sent again.
     *
     * @return true if it may
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Tells whether the answer is an event stream.
     *
     * @return true if it is
     */
    public boolean isStream() {
        return stream;
    }
}
