package org.fuchsiawharf.core.claims;

import org.jspecify.annotations.Nullable;

/**
 * What became of a claim.
 *
 * <p>Immutable and thread-safe.
 *
 * @param status what became of it
 * @param earlier the claim that stands, null unless another holds the key
 */
public record ClaimResult(Status status, @Nullable Claim earlier) {
    /** What became of a claim. */
    public enum Status {
        /** The claim stands: its request may run. */
        GRANTED,
        /** Another claim stands for the key. */
        HELD,
        /** Another claim stands for the key, made with another body. */
        OTHER_BODY,
        /** It is not known that the claim stands: its request must not run. */
        UNAVAILABLE
    }

    /**
     * Creates the result of a claim that stands.
     *
     * @return the result, never null
     */
    public static ClaimResult granted() {
        return new ClaimResult(Status.GRANTED, null);
    }

    /**
     * Creates the result of a claim that found another.
     *
     * @param earlier the claim that stands, not null
     * @return the result, never null
     */
    public static ClaimResult held(Claim earlier) {
        return new ClaimResult(Status.HELD, earlier);
    }

    /**
     * Creates the result of a claim whose key was used with another body.
     *
     * @param earlier the claim that stands, not null
     * @return the result, never null
     */
    public static ClaimResult otherBody(Claim earlier) {
        return new ClaimResult(Status.OTHER_BODY, earlier);
    }

    /**
     * Creates the result of a claim that could not be made.
     *
     * @return the result, never null
     */
    public static ClaimResult unavailable() {
        return new ClaimResult(Status.UNAVAILABLE, null);
    }
}
