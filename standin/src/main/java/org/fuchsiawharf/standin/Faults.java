package org.fuchsiawharf.standin;

/**
 * The faults that are injected into a simulated endpoint.
 *
 * <p>Thread-safe: each call or step reads the faults again, so that a change applies from the next call or step.
 */
public final class Faults {
    /** The manner of response to calls. */
    public enum ResponseMode {
        /** Correct responses. */
        NORMAL,
        /** Malformed JSON in the response body or in the events of the stream. */
        GARBAGE,
        /** The attempt header contains the id of another attempt. */
        WRONG_ATTEMPT,
        /** Each token event and the final event of a stream are sent twice. */
        TWICE,
        /** No response. */
        NEVER,
        /** The connection is closed before the response is complete, but after the work is done. */
        CLOSE
    }

    private volatile double slowFactor = 1;
    private volatile boolean reportsIdle;
    private volatile boolean leaving;
    private volatile ResponseMode responseMode = ResponseMode.NORMAL;

    /** Creates an instance without active faults. */
    public Faults() {}

    /**
     * Gets the factor by which the endpoint's processing time is multiplied.
     *
     * @return the factor, 1 for normal
     */
    public double getSlowFactor() {
        return slowFactor;
    }

    /**
     * Sets the factor by which the endpoint's processing time is multiplied.
     *
     * @param factor the factor, 1 for normal
     */
    public void setSlowFactor(double factor) {
        slowFactor = factor;
    }

    /**
     * Checks whether an engine's load reports show an idle endpoint, regardless of its load.
     *
     * @return true if load reports show an idle endpoint
     */
    public boolean isReportsIdle() {
        return reportsIdle;
    }

    /**
     * Sets whether an engine's load reports show an idle endpoint, regardless of its load.
     *
     * @param idle true if load reports show an idle endpoint
     */
    public void setReportsIdle(boolean idle) {
        reportsIdle = idle;
    }

    /**
     * Checks whether the endpoint is leaving and rejects new calls.
     *
     * @return true if the endpoint is leaving
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Sets whether the endpoint is leaving and rejects new calls.
     *
     * @param value true if the endpoint is leaving
     */
    public void setLeaving(boolean value) {
        leaving = value;
    }

    /**
     * Gets the manner of response to calls.
     *
     * @return the response mode, never null
     */
    public ResponseMode getResponseMode() {
        return responseMode;
    }

    /**
     * Sets the manner of response to calls.
     *
     * @param mode the response mode, not null
     */
    public void setResponseMode(ResponseMode mode) {
        responseMode = mode;
    }
}
