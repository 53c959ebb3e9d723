package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.model.Outcome;
import org.fuchsiawharf.core.model.StageSpec;
import org.fuchsiawharf.core.port.AttemptId;

/**
 * The rules on which the promises rest, apart from every policy.
 *
 * <p>They stand in one place so that tests can break each of them and show that the break is noticed. Stateless and
 * thread-safe.
 */
class SafetyRules {
    /** The rules that are in force. */
    static final SafetyRules STRICT = new SafetyRules();

    /**
     * Tells whether an answer belongs to an open attempt.
     *
     * @param open the open attempt, not null
     * @param answered the attempt that the answer names, not null
     * @return true only for the very same attempt
     */
    boolean isSameAttempt(AttemptId open, AttemptId answered) {
        return open.equals(answered);
    }

    /**
     * Tells whether a stage may be called again after a call without an answer.
     *
     * @param stage the stage, not null
     * @param mayHaveRun whether the call may have taken effect
     * @return true if the stage is repeatable, or the call is proved not to have run
     */
    boolean mayCallAgain(StageSpec stage, boolean mayHaveRun) {
        return stage.repeatable() || !mayHaveRun;
    }

    /**
     * Decides the outcome of a request that ends without an answer.
     *
     * @param unsafeEffect whether a non-repeatable call may have taken effect
     * @param anyEffect whether any call may have taken effect
     * @return the outcome, never null
     */
    Outcome getOutcome(boolean unsafeEffect, boolean anyEffect) {
        if (unsafeEffect) {
            return Outcome.UNKNOWN;
        }
        return anyEffect ? Outcome.FAILED : Outcome.NOT_RUN;
    }

    /**
     * Tells whether a token was received before.
     *
     * @param received the number of tokens received
     * @param offset the token's number
     * @return true if it is a repeat
     */
    boolean isRepeatedToken(long received, long offset) {
        return offset < received;
    }

    /**
     * Tells whether a configuration replaces the one in force.
     *
     * @param inForce the revision in force
     * @param offered the offered revision
     * @return true only for a higher revision
     */
    boolean isNewer(long inForce, long offered) {
        return offered > inForce;
    }
}
