package org.fuchsiawharf.core.claims;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.SplittableRandom;
import java.util.concurrent.atomic.AtomicInteger;

import org.fuchsiawharf.core.model.Payload;
import org.fuchsiawharf.core.store.FaultyStore;
import org.fuchsiawharf.core.store.InMemoryStore;
import org.fuchsiawharf.core.store.KeyValueStore;
import org.fuchsiawharf.core.store.ReadResult;
import org.fuchsiawharf.core.store.WriteResult;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

class TestClaimCommitter {
    private static final int SEED_COUNT = 200;
    private final InMemoryStore store = new InMemoryStore();
    private long now = 1_000_000_000;

    private Claim claim(String key, String holder, String request) {
        return new Claim(key, holder, request, "hash", now);
    }

    private ClaimResult commitClaim(ClaimCommitter committer, Claim claim) {
        return Objects.requireNonNull(
                committer.commit(0, List.of(claim), List.of()).get(claim));
    }

    private ClaimCommitter committer() {
        return new ClaimCommitter(store, () -> now);
    }

    @Test
    void grantsFreeKey() {
        assertThat(commitClaim(committer(), claim("k", "a", "1")).status(), is(ClaimResult.Status.GRANTED));
    }

    @Test
    void rejectsKeyHeldByAnotherInstance() {
        Claim first = claim("k", "a", "1");
        commitClaim(committer(), first);
        ClaimResult result = commitClaim(committer(), claim("k", "b", "1"));
        assertThat(result, is(ClaimResult.held(first)));
    }

    @Test
    void rejectsKeyClaimedWithAnotherBody() {
        commitClaim(committer(), claim("k", "a", "1"));
        Claim other = new Claim("k", "b", "1", "other hash", now);
        assertThat(commitClaim(committer(), other).status(), is(ClaimResult.Status.OTHER_BODY));
    }

    @Test
    void grantsReleasedKey() {
        Claim first = claim("k", "a", "1");
        commitClaim(committer(), first);
        committer().commit(0, List.of(), List.of(first));
        assertThat(commitClaim(committer(), claim("k", "b", "1")).status(), is(ClaimResult.Status.GRANTED));
    }

    @Test
    void grantsKeyAfterClaimExpired() {
        commitClaim(committer(), claim("k", "a", "1"));
        now += ClaimCommitter.RETENTION_MILLIS + 1;
        assertThat(commitClaim(committer(), claim("k", "b", "1")).status(), is(ClaimResult.Status.GRANTED));
    }

    @Test
    void returnsUnavailableWhenStoreIsUnavailable() {
        ClaimCommitter unavailableCommitter = new ClaimCommitter(new FaultyStore(store, 1, 1, 0), () -> now);
        assertThat(
                commitClaim(unavailableCommitter, claim("k", "a", "1")).status(), is(ClaimResult.Status.UNAVAILABLE));
    }

    @Test
    void keepsClaimWhenWriteResponseWasLostAndStoreBecameUnavailable() {
        KeyValueStore losingStore = new KeyValueStore() {
            private boolean lost;

            @Override
            public ReadResult read(String key) {
                return lost ? ReadResult.unavailable() : store.read(key);
            }

            @Override
            public ReadResult watch(String key, long knownVersion, long waitMillis) {
                return read(key);
            }

            @Override
            public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
                store.compareAndSet(key, expectedVersion, value);
                lost = true;
                return WriteResult.UNKNOWN;
            }
        };
        ClaimResult unconfirmedResult = commitClaim(new ClaimCommitter(losingStore, () -> now), claim("k", "a", "1"));
        assertThat(unconfirmedResult.status(), is(ClaimResult.Status.UNAVAILABLE));
        assertThat(commitClaim(committer(), claim("k", "b", "1")).status(), is(ClaimResult.Status.HELD));
    }

    @Test
    void commitsManyClaimsWithOneWrite() {
        AtomicInteger writes = new AtomicInteger();
        KeyValueStore countingStore = new KeyValueStore() {
            @Override
            public ReadResult read(String key) {
                return store.read(key);
            }

            @Override
            public ReadResult watch(String key, long knownVersion, long waitMillis) {
                return store.watch(key, knownVersion, waitMillis);
            }

            @Override
            public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
                writes.incrementAndGet();
                return store.compareAndSet(key, expectedVersion, value);
            }
        };
        List<Claim> requested = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
            requested.add(claim("k" + i, "a", "r" + i));
        }
        Map<Claim, ClaimResult> results = new ClaimCommitter(countingStore, () -> now).commit(0, requested, List.of());
        assertThat(results.size(), is(25));
        assertThat(writes.get(), is(1));
    }

    // -----------------------------------------------------------------------

    @Test
    void grantsKeyToAtMostOneInstanceDespiteLostResponses() {
        assertThat(countSeedsWithTwoGrants(false), is(0));
    }

    @Test
    void detectsTwoGrantsWhenLostResponseCountsAsSuccess() {
        assertThat(countSeedsWithTwoGrants(true), is(greaterThan(0)));
    }

    private int countSeedsWithTwoGrants(boolean unknownCountsAsWritten) {
        int seedsWithTwoGrants = 0;
        for (long seed = 1; seed <= SEED_COUNT; seed++) {
            seedsWithTwoGrants += hasTwoGrants(seed, unknownCountsAsWritten) ? 1 : 0;
        }
        return seedsWithTwoGrants;
    }

    private boolean hasTwoGrants(long seed, boolean unknownCountsAsWritten) {
        SplittableRandom random = new SplittableRandom(seed);
        InMemoryStore shared = new InMemoryStore();
        Map<String, Integer> grants = new HashMap<>();
        List<ClaimCommitter> committers = new ArrayList<>();
        List<FaultyStore> stores = new ArrayList<>();
        for (int i = 0; i < 3; i++) {
            FaultyStore faultyStore = new FaultyStore(shared, seed * 10 + i, 0.1, 0.3);
            stores.add(faultyStore);
            committers.add(new ClaimCommitter(faultyStore, () -> now) {
                @Override
                boolean isWritten(WriteResult writeResult) {
                    return super.isWritten(writeResult)
                            || (unknownCountsAsWritten && writeResult == WriteResult.UNKNOWN);
                }
            });
        }
        for (int step = 0; step < 30; step++) {
            int index = random.nextInt(3);
            int other = random.nextInt(3);
            String key = "k" + random.nextInt(8);
            Claim claim = claim(key, "i" + index, "r" + step);
            Claim racingClaim = claim(key, "i" + other, "s" + step);
            boolean racing = other != index && random.nextBoolean();
            if (racing) {
                stores.get(index)
                        .runBeforeNextWrite(() ->
                                recordGrant(grants, commitClaim(committers.get(other), racingClaim), racingClaim));
            }
            recordGrant(grants, commitClaim(committers.get(index), claim), claim);
        }
        return grants.values().stream().anyMatch(holders -> Integer.bitCount(holders) > 1);
    }

    // The same instance may be granted a key several times, but two instances never the same key.
    private static void recordGrant(Map<String, Integer> grants, ClaimResult result, Claim claim) {
        if (result.status() == ClaimResult.Status.GRANTED) {
            int holder = 1 << Integer.parseInt(claim.holder().substring(1));
            grants.merge(claim.key(), holder, (a, b) -> a | b);
        }
    }

    @Test
    void assignsKeysToValidShards() {
        for (int i = 0; i < 100; i++) {
            assertThat(ClaimCommitter.shardOf("key" + i), is(lessThan(ClaimCommitter.SHARDS)));
        }
    }
}
