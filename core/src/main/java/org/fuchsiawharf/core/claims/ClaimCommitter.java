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
 * Makes and gives up claims in the key-value service, many with one write.
 *
 * <p>At most one claim stands for a key: compare-and-swap of the shard's value alone decides. A claim whose write's
 * answer was lost counts as made only if it is read back. A claim lasts for the retention time. Confined to one
 * thread.
 */
public class ClaimCommitter {
    /** The number of values that claims are spread over. */
    public static final int SHARDS = 16;

    /** How long a claim lasts, in milliseconds. */
    public static final long RETENTION_MILLIS = 600_000;

    private static final int MAX_TRIES = 10;

    private final KeyValueStore store;
    private final LongSupplier wallMillis;

    /**
     * Creates a committer.
     *
     * @param store the key-value service, not null
     * @param wallMillis reads the time of day in milliseconds since 1970, not null
     */
    public ClaimCommitter(KeyValueStore store, LongSupplier wallMillis) {
        this.store = store;
        this.wallMillis = wallMillis;
    }

    /**
     * Gets the shard of a key.
     *
     * @param key the key, not null
     * @return 0 to {@link #SHARDS} - 1
     */
    public static int shardOf(String key) {
        return Math.floorMod(key.hashCode(), SHARDS);
    }

    /**
     * Makes and gives up claims of one shard.
     *
     * @param shard the shard that all keys belong to
     * @param wanted claims to make, not null
     * @param given claims to give up, not null
     * @return a result for each wanted claim, never null
     */
    public Map<Claim, ClaimResult> commit(int shard, List<Claim> wanted, List<Claim> given) {
        String key = "claims/" + shard;
        Map<Claim, ClaimResult> results = new HashMap<>();
        boolean unknown = false;
        for (int i = 0; i < MAX_TRIES; i++) {
            ReadResult read = store.read(key);
            if (read.status() == ReadResult.Status.UNAVAILABLE) {
                break;
            }
            ClaimPage page = ClaimPage.read(read.value());
            results.clear();
            Set<Claim> fresh = apply(page, wanted, given, results);
            if (fresh.isEmpty() && !isHeldAny(page, given)) {
                return results;
            }
            page.dropOlderThan(wallMillis.getAsLong() - RETENTION_MILLIS);
            given.forEach(claim -> page.claims().computeIfPresent(claim.key(), (k, c) -> c.isSame(claim) ? null : c));
            WriteResult written = store.compareAndSet(key, read.version(), page.write());
            if (isWritten(written)) {
                return results;
            }
            unknown |= written == WriteResult.UNKNOWN;
            if (written == WriteResult.UNAVAILABLE) {
                break;
            }
        }
        return withdraw(wanted, results, unknown);
    }

    /**
     * Tells whether a write's answer proves that it took effect.
     *
     * @param written the answer, not null
     * @return true only if it did for sure
     */
    boolean isWritten(WriteResult written) {
        return written == WriteResult.DONE;
    }

    // Adds every wanted claim whose key is free; one that stands already was written by a try whose answer was lost.
    private Set<Claim> apply(ClaimPage page, List<Claim> wanted, List<Claim> given, Map<Claim, ClaimResult> results) {
        long oldest = wallMillis.getAsLong() - RETENTION_MILLIS;
        Set<Claim> fresh = new HashSet<>();
        for (Claim claim : wanted) {
            Claim present = page.claims().get(claim.key());
            if (present != null && present.isSame(claim)) {
                results.put(claim, ClaimResult.granted());
            } else if (present != null
                    && present.atMillis() >= oldest
                    && !present.holder().equals(claim.holder())) {
                boolean sameBody = present.bodyHash().equals(claim.bodyHash());
                results.put(claim, sameBody ? ClaimResult.held(present) : ClaimResult.otherBody(present));
            } else {
                // The instance itself made the earlier claim, and has ended that request without a run.
                page.claims().put(claim.key(), claim);
                results.put(claim, ClaimResult.granted());
                fresh.add(claim);
            }
        }
        return fresh;
    }

    private static boolean isHeldAny(ClaimPage page, List<Claim> given) {
        for (Claim claim : given) {
            Claim present = page.claims().get(claim.key());
            if (present != null && present.isSame(claim)) {
                return true;
            }
        }
        return false;
    }

    // What was read to be held by another stays so; nothing else is known.
    private static Map<Claim, ClaimResult> withdraw(
            List<Claim> wanted, Map<Claim, ClaimResult> results, boolean unknown) {
        Map<Claim, ClaimResult> known = new HashMap<>();
        for (Claim claim : new ArrayList<>(wanted)) {
            ClaimResult result = results.get(claim);
            boolean taken = !unknown && result != null && result.status() != ClaimResult.Status.GRANTED;
            known.put(claim, taken ? result : ClaimResult.unavailable());
        }
        return known;
    }
}
