package org.fuchsiawharf.core.config;

import java.util.List;

/**
 * One change that took effect.
 *
 * <p>Its hash covers every other member and the hash of the entry before, so that a changed or missing entry shows.
 * Immutable and thread-safe.
 *
 * @param revision the revision that the change made
 * @param planId the confirmed plan
 * @param who who stated the intent
 * @param confirmedBy who confirmed it
 * @param at when it was confirmed, in milliseconds since 1970
 * @param source the address that the confirmation came from
 * @param baseRevision the revision that the plan was compared with
 * @param items the items that it changed
 * @param previousHash the hash of the entry before, empty for the first
 * @param hash this entry's hash
 */
public record AuditEntry(
        long revision,
        String planId,
        String who,
        String confirmedBy,
        long at,
        String source,
        long baseRevision,
        List<String> items,
        String previousHash,
        String hash) {
    /** Copies the list. */
    public AuditEntry {
        items = List.copyOf(items);
    }

    /**
     * Gets the hash that the members call for.
     *
     * @return 64 hexadecimal digits, never null
     */
    String computeHash() {
        return Digests.of(Json.write(withHash("")));
    }

    /**
     * Changes the hash.
     *
     * @param changed the hash, not null
     * @return a changed copy, never null
     */
    AuditEntry withHash(String changed) {
        return new AuditEntry(
                revision, planId, who, confirmedBy, at, source, baseRevision, items, previousHash, changed);
    }
}
