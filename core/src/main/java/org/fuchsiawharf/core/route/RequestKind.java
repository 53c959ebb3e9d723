package org.fuchsiawharf.core.route;

/**
 * Whether a request may be repeated, and whether its response is an event stream.
 *
 * <p>Immutable and thread-safe.
 */
public enum RequestKind {
    /** May run more than once. */
    IDEMPOTENT(true, false),
    /** Runs at most once each time the caller sends it. */
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
     * Checks whether a request may be sent to an endpoint again although it may already have run.
     *
     * @return true if the request may run more than once
     */
    public boolean isRepeatable() {
        return repeatable;
    }

    /**
     * Checks whether the response is an event stream.
     *
     * @return true for an event stream
     */
    public boolean isStream() {
        return stream;
    }
}
