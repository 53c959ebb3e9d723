package org.fuchsiawharf.standin;

import org.fuchsiawharf.core.util.Arguments;

/**
 * Behaviour of the endpoints of one service.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service's name
 * @param kind the kind of the endpoints, not null
 * @param workers the number of endpoints, assigned to the availability zones in round-robin order, 1 to 1,000
 * @param slots the maximum number of concurrent calls of one endpoint, 1 to 1,000
 * @param maxWaiting the maximum number of queued calls of one endpoint, 0 to 10,000; further calls are rejected
 * @param baseMicros the duration of one call, or of one engine step with an empty batch, in microseconds
 * @param perCallMicros the time that each running call adds to an engine step, in microseconds
 * @param prefillMicros the prefill time of a prompt prefix that is not cached, in microseconds
 * @param cacheEntries the capacity of the prefix cache of one engine, in prefixes, 0 to 100,000
 */
public record ServiceProfile(
        String service,
        Kind kind,
        int workers,
        int slots,
        int maxWaiting,
        int baseMicros,
        int perCallMicros,
        int prefillMicros,
        int cacheEntries) {
    private static final int MAX_MICROS = 60_000_000;

    /**
     * Checks the bounds.
     *
     * @throws org.fuchsiawharf.core.error.ArgumentException if a component is out of bounds
     */
    public ServiceProfile {
        Arguments.name(service, "profile.service");
        Arguments.notNull(kind, "profile.kind of " + service);
        Arguments.between(workers, 1, 1_000, "profile.workers of " + service);
        Arguments.between(slots, 1, 1_000, "profile.slots of " + service);
        Arguments.between(maxWaiting, 0, 10_000, "profile.maxWaiting of " + service);
        Arguments.between(baseMicros, 0, MAX_MICROS, "profile.baseMicros of " + service);
        Arguments.between(perCallMicros, 0, MAX_MICROS, "profile.perCallMicros of " + service);
        Arguments.between(prefillMicros, 0, MAX_MICROS, "profile.prefillMicros of " + service);
        Arguments.between(cacheEntries, 0, 100_000, "profile.cacheEntries of " + service);
    }

    /** The kind of the endpoints of a service. */
    public enum Kind {
        /** An inference engine that generates token streams with continuous batching and a prefix cache. */
        ENGINE,
        /** A service that runs each call for a fixed time with random jitter. */
        POOL
    }

    /**
     * Creates the default profile of an inference engine.
     *
     * @param service the service's name, not null
     * @param workers the number of endpoints
     * @return a profile with 16 calls per batch, 8 ms plus 0.5 ms per call for each step, 20 ms for an uncached prefix,
     *     32 queued calls and 64 cached prefixes; never null
     */
    public static ServiceProfile engine(String service, int workers) {
        return new ServiceProfile(service, Kind.ENGINE, workers, 16, 32, 8_000, 500, 20_000, 64);
    }

    /**
     * Creates the default profile of an encoder, retriever, reranker or plain service.
     *
     * @param service the service's name, not null
     * @param workers the number of endpoints
     * @param baseMicros the duration of one call, in microseconds
     * @return a profile with 8 concurrent and 64 queued calls, never null
     */
    public static ServiceProfile pool(String service, int workers, int baseMicros) {
        return new ServiceProfile(service, Kind.POOL, workers, 8, 64, baseMicros, 0, 0, 0);
    }

    /**
     * Gets the maximum throughput of all endpoints together for calls of a given length.
     *
     * @param tokens the number of tokens of each call, ignored for a pool
     * @return the throughput, in calls per second
     */
    public double getCapacity(int tokens) {
        double micros = kind == Kind.POOL ? baseMicros : (double) tokens * (baseMicros + perCallMicros * slots);
        return workers * slots * 1e6 / Math.max(1, micros);
    }
}
