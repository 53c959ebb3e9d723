package org.fuchsiawharf.core.claims;

/**
 * The claim of an instance on an idempotency key, held for one request.
 *
 * <p>Immutable and thread-safe.
 *
 * @param key the workspace, the pipeline and the idempotency key
 * @param holder the name and incarnation of the claiming instance
 * @param request the id of the request on the claiming instance
 * @param bodyHash the hash of the body of the request
 * @param atMillis the time of the claim, in milliseconds since 1970-01-01T00:00Z
 */
public record Claim(String key, String holder, String request, String bodyHash, long atMillis) {
    /**
     * Checks whether another claim was made for the same request of the same instance.
     *
     * @param other the other claim, not null
     * @return true if holder and request are equal
     */
    boolean isSameRequest(Claim other) {
        return holder.equals(other.holder) && request.equals(other.request);
    }
}
