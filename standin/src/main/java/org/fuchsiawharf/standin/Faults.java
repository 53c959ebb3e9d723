package org.fuchsiawharf.standin;

/**
 * How an endpoint stand-in misbehaves at present.
 *
 * <p>Thread-safe: each field is read anew for each call or step.
 */
public final class Faults {
    /** How calls are answered. */
    public enum Answer {
        /** As they should be. */
        NORMAL,
        /** With text that is not JSON, or a stream that is not one. */
        GARBAGE,
        /** Under the id of another attempt. */
        WRONG_ATTEMPT,
        /** Each token, and the end of a stream, is sent twice. */
        TWICE,
        /** Never. */
        NEVER,
        /** By closing the connection half-way, once the work is done. */
        CLOSE
    }

    private volatile double slowFactor = 1;
    private volatile boolean reportsIdle;
    private volatile boolean leaving;
    private volatile Answer answer = Answer.NORMAL;

    /** Creates faults that are all off. */
    public Faults() {}

    /**
     * Gets how many times slower than normal the endpoint works.
     *
     * @return the factor, 1 for normal
     */
    public double getSlowFactor() {
        return slowFactor;
    }

    /**
     * Sets how many times slower than normal the endpoint works.
     *
     * @param factor the factor, 1 for normal
     */
    public void setSlowFactor(double factor) {
        slowFactor = factor;
    }

    /**
     * Tells whether load reports claim an idle endpoint.
     *
     * @return true if they do
     */
    public boolean isReportsIdle() {
        return reportsIdle;
    }

    /**
     * Sets whether load reports claim an idle endpoint.
     *
     * @param idle whether they do
     */
    public void setReportsIdle(boolean idle) {
        reportsIdle = idle;
    }

    /**
     * Tells whether the endpoint is leaving and refuses new calls.
     *
     * @return true if it is
     */
    public boolean isLeaving() {
        return leaving;
    }

    /**
     * Sets whether the endpoint is leaving.
     *
     * @param gone whether it is
     */
    public void setLeaving(boolean gone) {
        leaving = gone;
    }

    /**
     * Gets how calls are answered.
     *
     * @return the manner, never null
     */
    public Answer getAnswer() {
        return answer;
    }

    /**
     * Sets how calls are answered.
     *
     * @param manner the manner, not null
     */
    public void setAnswer(Answer manner) {
        answer = manner;
    }
}
