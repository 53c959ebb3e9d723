package org.fuchsiawharf.core.config;

import java.util.List;

/**
 * The audit record of one confirmed configuration change.
 *
 * <p>The hash covers all other fields, including the hash of the previous entry. A modified or missing entry thus
 * breaks the chain of hashes. Immutable and thread-safe.
 *
 * @param revision the revision that the change created
 * @param planId the id of the confirmed plan
 * @param who the operator that requested the change
 * @param confirmedBy the operator that confirmed the plan
 * @param at the time of confirmation, in milliseconds since 1970-01-01T00:00Z
 * @param source the address that the confirmation came from
 * @param baseRevision the configuration revision that the plan is based on
 * @param items the names of the changed items
 * @param previousHash the hash of the previous entry, empty for the first entry
 * @param hash the hash of this entry
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
    /** Makes the list immutable. */
    public AuditEntry {
        items = List.copyOf(items);
    }

    /**
     * Computes the hash of this entry from the other fields.
     *
     * @return the hash as 64 hexadecimal digits, never null
     */
    String computeHash() {
        return Digests.of(Json.write(withHash("")));
    }

    /**
     * Returns a copy of this entry with another hash.
     *
     * @param newHash the hash of the copy, not null
     * @return the copy, never null
     */
    AuditEntry withHash(String newHash) {
        return new AuditEntry(
                revision, planId, who, confirmedBy, at, source, baseRevision, items, previousHash, newHash);
    }
}
