package org.fuchsiawharf.core.store;

import java.util.SplittableRandom;

import org.fuchsiawharf.core.model.Payload;

/**
 * A store that at random, from a seed, is unavailable or loses the response to a write, which may or may not have
 * taken effect.
 */
public final class FaultyStore implements KeyValueStore {
    private final KeyValueStore store;
    private final SplittableRandom random;
    private final double unavailableProbability;
    private final double lostResponseProbability;
    private Runnable beforeWriteAction = () -> {};

    public FaultyStore(KeyValueStore store, long seed, double unavailableProbability, double lostResponseProbability) {
        this.store = store;
        this.random = new SplittableRandom(seed);
        this.unavailableProbability = unavailableProbability;
        this.lostResponseProbability = lostResponseProbability;
    }

    /** Sets the action to run once at the start of the next write, such as the write of a concurrent writer. */
    public void runBeforeNextWrite(Runnable action) {
        beforeWriteAction = action;
    }

    @Override
    public ReadResult read(String key) {
        return random.nextDouble() < unavailableProbability ? ReadResult.unavailable() : store.read(key);
    }

    @Override
    public ReadResult watch(String key, long knownVersion, long waitMillis) {
        return read(key);
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
        Runnable action = beforeWriteAction;
        beforeWriteAction = () -> {};
        action.run();
        if (random.nextDouble() < unavailableProbability) {
            return WriteResult.UNAVAILABLE;
        }
        if (random.nextDouble() < lostResponseProbability) {
            if (random.nextBoolean()) {
                store.compareAndSet(key, expectedVersion, value);
            }
            return WriteResult.UNKNOWN;
        }
        return store.compareAndSet(key, expectedVersion, value);
    }
}
