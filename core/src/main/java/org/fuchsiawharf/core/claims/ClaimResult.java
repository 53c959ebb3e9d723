package org.fuchsiawharf.core.claims;

import org.jspecify.annotations.Nullable;

/**
 * The result of an attempt to claim a key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status the status of the claim
 * @param earlier the valid claim of the other holder, null unless another holder has one
 */
public record ClaimResult(Status status, @Nullable Claim earlier) {
    /** The status of a claim. */
    public enum Status {
        /** The claim was granted: its request may run. */
        GRANTED,
        /** Another holder has a valid claim on the key, made with the same body. */
        HELD,
        /** Another holder has a valid claim on the key, made with another body. */
        OTHER_BODY,
        /** The claim could not be confirmed: its request must not run. */
        UNAVAILABLE
    }

    /**
     * Creates the result of a granted claim.
     *
     * @return the result, never null
     */
    public static ClaimResult granted() {
        return new ClaimResult(Status.GRANTED, null);
    }

    /**
     * Creates the result of a claim on a key that another holder claimed with the same body.
     *
     * @param earlier the valid claim of the other holder, not null
     * @return the result, never null
     */
    public static ClaimResult held(Claim earlier) {
        return new ClaimResult(Status.HELD, earlier);
    }

    /**
     * Creates the result of a claim on a key that another holder claimed with another body.
     *
     * @param earlier the valid claim of the other holder, not null
     * @return the result, never null
     */
    public static ClaimResult otherBody(Claim earlier) {
        return new ClaimResult(Status.OTHER_BODY, earlier);
    }

    /**
     * Creates the result of a claim that could not be confirmed.
     *
     * @return the result, never null
     */
    public static ClaimResult unavailable() {
        return new ClaimResult(Status.UNAVAILABLE, null);
    }
}
