package org.fuchsiawharf.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.LongSupplier;

import org.fuchsiawharf.core.store.KeyValueStore;
import org.fuchsiawharf.core.store.ReadResult;
import org.fuchsiawharf.core.store.WriteResult;

/**
 * Adds and releases claims in the key-value service, in batches of one write per shard.
 *
 * <p>The compare-and-swap of the shard's value ensures that each key has at most one valid claim. A claim whose write
 * response was lost is granted only after a read has found it. Claims expire after the retention time. Confined to one
 * thread.
 */
public class ClaimCommitter {
    /** The number of shards, each stored in one value. */
    public static final int SHARDS = 16;

    /** The time until a claim expires, in milliseconds. */
    public static final long RETENTION_MILLIS = 600_000;

    private static final int MAX_ATTEMPTS = 10;

    private final KeyValueStore store;
    private final LongSupplier wallMillis;

    /**
     * Creates a committer.
     *
     * @param store the key-value service, not null
     * @param wallMillis the supplier of the wall-clock time in milliseconds since 1970-01-01T00:00Z, not null
     */
    public ClaimCommitter(KeyValueStore store, LongSupplier wallMillis) {
        this.store = store;
        this.wallMillis = wallMillis;
    }

    /**
     * Gets the shard of a key.
     *
     * @param key the key, not null
     * @return the shard number, from 0 to {@link #SHARDS} - 1
     */
    public static int shardOf(String key) {
        return Math.floorMod(key.hashCode(), SHARDS);
    }

    /**
     * Adds and releases claims of one shard.
     *
     * @param shard the shard of all keys, from 0 to {@link #SHARDS} - 1
     * @param requested the claims to add, not null
     * @param released the claims to release, not null
     * @return the result of each requested claim, never null
     */
    public Map<Claim, ClaimResult> commit(int shard, List<Claim> requested, List<Claim> released) {
        String key = "claims/" + shard;
        Map<Claim, ClaimResult> results = new HashMap<>();
        boolean mayBeWritten = false;
        for (int i = 0; i < MAX_ATTEMPTS; i++) {
            ReadResult read = store.read(key);
            if (read.status() == ReadResult.Status.UNAVAILABLE) {
                break;
            }
            ClaimShard claimShard = ClaimShard.read(read.value());
            results.clear();
            Set<Claim> added = apply(claimShard, requested, released, results);
            if (added.isEmpty() && !containsAny(claimShard, released)) {
                return results;
            }
            claimShard.removeOlderThan(wallMillis.getAsLong() - RETENTION_MILLIS);
            released.forEach(claim ->
                    claimShard.claims().computeIfPresent(claim.key(), (k, c) -> c.isSameRequest(claim) ? null : c));
            WriteResult writeResult = store.compareAndSet(key, read.version(), claimShard.write());
            if (isWritten(writeResult)) {
                return results;
            }
            mayBeWritten |= writeResult == WriteResult.UNKNOWN;
            if (writeResult == WriteResult.UNAVAILABLE) {
                break;
            }
        }
        return toUncommittedResults(requested, results, mayBeWritten);
    }

    /**
     * Checks whether the result of a write confirms that the write took effect.
     *
     * @param writeResult the result of the write, not null
     * @return true if the write is known to have taken effect
     */
    boolean isWritten(WriteResult writeResult) {
        return writeResult == WriteResult.DONE;
    }

    // Adds every requested claim whose key is free. A claim of the same request that is already stored is granted: an
    // earlier attempt wrote it, but its response was lost.
    private Set<Claim> apply(
            ClaimShard claimShard, List<Claim> requested, List<Claim> released, Map<Claim, ClaimResult> results) {
        long oldestValidMillis = wallMillis.getAsLong() - RETENTION_MILLIS;
        Set<Claim> added = new HashSet<>();
        for (Claim claim : requested) {
            Claim current = claimShard.claims().get(claim.key());
            if (current != null && current.isSameRequest(claim)) {
                results.put(claim, ClaimResult.granted());
            } else if (current != null
                    && current.atMillis() >= oldestValidMillis
                    && !current.holder().equals(claim.holder())) {
                boolean sameBody = current.bodyHash().equals(claim.bodyHash());
                results.put(claim, sameBody ? ClaimResult.held(current) : ClaimResult.otherBody(current));
            } else {
                // The key is free: it has no claim, its claim has expired, or its claim belongs to an earlier request
                // of the same instance, which ended without running.
                claimShard.claims().put(claim.key(), claim);
                results.put(claim, ClaimResult.granted());
                added.add(claim);
            }
        }
        return added;
    }

    private static boolean containsAny(ClaimShard claimShard, List<Claim> released) {
        for (Claim claim : released) {
            Claim current = claimShard.claims().get(claim.key());
            if (current != null && current.isSameRequest(claim)) {
                return true;
            }
        }
        return false;
    }

    // Keeps the results HELD and OTHER_BODY unless a write response was lost; every other result becomes UNAVAILABLE.
    private static Map<Claim, ClaimResult> toUncommittedResults(
            List<Claim> requested, Map<Claim, ClaimResult> results, boolean mayBeWritten) {
        Map<Claim, ClaimResult> uncommitted = new HashMap<>();
        for (Claim claim : new ArrayList<>(requested)) {
            ClaimResult result = results.get(claim);
            boolean heldByOther = !mayBeWritten && result != null && result.status() != ClaimResult.Status.GRANTED;
            uncommitted.put(claim, heldByOther ? result : ClaimResult.unavailable());
        }
        return uncommitted;
    }
}
