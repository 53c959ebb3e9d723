package org.fuchsiawharf.core.store;

import java.util.SplittableRandom;

import org.fuchsiawharf.core.model.Payload;

/** A store that is at times down, and at times loses the answer to a write before or after it took effect. */
public final class FaultyStore implements KeyValueStore {
    private final KeyValueStore store;
    private final SplittableRandom random;
    private final double downShare;
    private final double lostShare;
    private Runnable beforeWrite = () -> {};

    public FaultyStore(KeyValueStore store, long seed, double downShare, double lostShare) {
        this.store = store;
        this.random = new SplittableRandom(seed);
        this.downShare = downShare;
        this.lostShare = lostShare;
    }

    /** Sets what happens between the next read and the next write, as another writer would cause it. */
    public void beforeNextWrite(Runnable action) {
        beforeWrite = action;
    }

    @Override
    public ReadResult read(String key) {
        return random.nextDouble() < downShare ? ReadResult.unavailable() : store.read(key);
    }

    @Override
    public ReadResult watch(String key, long knownVersion, long waitMillis) {
        return read(key);
    }

    @Override
    public WriteResult compareAndSet(String key, long expectedVersion, Payload value) {
        Runnable action = beforeWrite;
        beforeWrite = () -> {};
        action.run();
        if (random.nextDouble() < downShare) {
            return WriteResult.UNAVAILABLE;
        }
        if (random.nextDouble() < lostShare) {
            if (random.nextBoolean()) {
                store.compareAndSet(key, expectedVersion, value);
            }
            return WriteResult.UNKNOWN;
        }
        return store.compareAndSet(key, expectedVersion, value);
    }
}
