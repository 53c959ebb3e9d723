package org.fuchsiawharf.core.port;

import java.util.List;

/**
 * What an instance knows at one moment.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the instance's name
 * @param revision the configuration's revision in force
 * @param active requests without an outcome yet
 * @param queued requests waiting for an endpoint
 * @param draining whether the instance is stopping
 * @param counters counts since the start
 * @param endpoints the endpoints it knows
 */
public record StatusSnapshot(
        String instance,
        long revision,
        int active,
        int queued,
        boolean draining,
        List<Counter> counters,
        List<EndpointView> endpoints) {
    /**
     * A named count.
     *
     * @param name the counter's name
     * @param value its value
     */
    public record Counter(String name, long value) {}

    /**
     * One endpoint as this instance sees it.
     *
     * @param name the endpoint's name
     * @param service its service
     * @param zone its availability zone
     * @param state {@code live}, {@code leaving} or {@code ejected}
     * @param inFlight calls of this instance that are open
     * @param reported calls the endpoint last reported, running and waiting
     * @param serviceMillis the typical time of a call, in milliseconds
     */
    public record EndpointView(
            String name, String service, String zone, String state, int inFlight, int reported, double serviceMillis) {}
}
