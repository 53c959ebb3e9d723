package org.fuchsiawharf.standin;

import org.fuchsiawharf.core.util.Arguments;

/**
 * How the endpoints of one service behave.
 *
 * <p>Immutable and thread-safe.
 *
 * @param service the service's name
 * @param kind whether its endpoints are engines or simple pools
 * @param workers the number of endpoints, spread over the availability zones in turn, 1 to 1,000
 * @param slots calls that one endpoint runs at once, 1 to 1,000
 * @param maxWaiting calls that wait at one endpoint before it refuses, 0 to 10,000
 * @param baseMicros the time of one call, or of one engine step with an empty batch, in microseconds
 * @param perCallMicros what each running call adds to an engine step, in microseconds
 * @param prefillMicros what a prompt prefix costs that is not in the engine's cache, in microseconds
 * @param cacheEntries prefixes that one engine's cache holds, 0 to 100,000
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
     * @throws org.fuchsiawharf.core.error.ArgumentException if one is out of bounds
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

    /** What kind of endpoint runs a service. */
    public enum Kind {
        /** Generates token streams with continuous batching and a prefix cache. */
        ENGINE,
        /** Runs each call for a fixed time. */
        POOL
    }

    /**
     * Creates the profile of a model engine.
     *
     * @param service the service's name, not null
     * @param workers the number of endpoints
     * @return 16 calls a batch, 8 ms and 0.5 ms a call for each step, 20 ms for an unknown prefix; never null
     */
    public static ServiceProfile engine(String service, int workers) {
        return new ServiceProfile(service, Kind.ENGINE, workers, 16, 32, 8_000, 500, 20_000, 64);
    }

    /**
     * Creates the profile of an encoder, retriever, reranker or plain service.
     *
     * @param service the service's name, not null
     * @param workers the number of endpoints
     * @param baseMicros the time of one call, in microseconds
     * @return 8 calls at once, 64 waiting; never null
     */
    public static ServiceProfile pool(String service, int workers, int baseMicros) {
        return new ServiceProfile(service, Kind.POOL, workers, 8, 64, baseMicros, 0, 0, 0);
    }

    /**
     * Gets the greatest throughput of all endpoints for calls of a given length.
     *
     * @param tokens the tokens of each call, ignored for a pool
     * @return calls a second
     */
    public double getCapacity(int tokens) {
        double micros = kind == Kind.POOL ? baseMicros : (double) tokens * (baseMicros + perCallMicros * slots);
        return workers * slots * 1e6 / Math.max(1, micros);
    }
}
