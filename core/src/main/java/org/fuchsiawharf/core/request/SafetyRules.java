package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.AttemptId;

/**
 * The rules that ensure the safety guarantees, independent of any policy.
 *
 * <p>The rules are collected in one class so that tests can weaken each rule and check that the resulting violation of
 * a guarantee is detected. Stateless and thread-safe.
 */
class SafetyRules {
    /** The rules used in production. */
    static final SafetyRules STRICT = new SafetyRules();

    /**
     * Checks whether a response belongs to an open attempt.
     *
     * @param open the identifier of the open attempt, not null
     * @param echoed the identifier in the response, not null
     * @return true only if both identifiers are equal
     */
    boolean isSameAttempt(AttemptId open, AttemptId echoed) {
        return open.equals(echoed);
    }

    /**
     * Checks whether a stage may be called again after a call without a response.
     *
     * @param stage the stage, not null
     * @param mayHaveRun whether the call may have taken effect
     * @return true if the stage is repeatable or the call certainly did not run
     */
    boolean mayRepeatCall(StageSpec stage, boolean mayHaveRun) {
        return stage.repeatable() || !mayHaveRun;
    }

    /**
     * Gets the outcome of a request that ends without a response.
     *
     * @param nonRepeatableEffect whether a non-repeatable call may have taken effect
     * @param anyEffect whether any call may have taken effect
     * @return the outcome, never null
     */
    Outcome getOutcome(boolean nonRepeatableEffect, boolean anyEffect) {
        if (nonRepeatableEffect) {
            return Outcome.UNKNOWN;
        }
        return anyEffect ? Outcome.FAILED : Outcome.NOT_RUN;
    }

    /**
     * Checks whether a token is a duplicate.
     *
     * @param received the number of tokens received so far
     * @param offset the position of the token in the stream, from 0
     * @return true if the token was already received
     */
    boolean isDuplicateToken(long received, long offset) {
        return offset < received;
    }

    /**
     * Checks whether a configuration replaces the current one.
     *
     * @param currentRevision the revision of the current configuration
     * @param newRevision the revision of the new configuration
     * @return true only if the new revision is higher
     */
    boolean isNewer(long currentRevision, long newRevision) {
        return newRevision > currentRevision;
    }
}
