package org.fuchsiawharf.core.claims;

/**
 * Says which run of which instance owns an idempotency key.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key workspace, pipeline and idempotency key
 * @param holder the instance with its incarnation
 * @param request the request's id on that instance
 * @param bodyHash the hash of the request's body
 * @param atMillis when it was made, in milliseconds since 1970
 */
public record Claim(String key, String holder, String request, String bodyHash, long atMillis) {
    /**
     * Tells whether another claim is this very one.
     *
     * @param other the other claim, not null
     * @return true if holder and request are the same
     */
    boolean isSame(Claim other) {
        return holder.equals(other.holder) && request.equals(other.request);
    }
}
