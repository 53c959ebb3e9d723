package org.fuchsiawharf.core.port;

import java.util.List;

/**
 * A snapshot of an instance's state.
 *
 * <p>Immutable and thread-safe.
 *
 * @param instance the name of the instance
 * @param revision the revision of the configuration in force
 * @param active the number of requests without an outcome
 * @param queued the number of requests waiting for an endpoint
 * @param draining whether the instance is draining
 * @param counters the counters since the start of the instance
 * @param endpoints the endpoints known to the instance
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
     * The value of a counter.
     *
     * @param name the name of the counter
     * @param value the count
     */
    public record Counter(String name, long value) {}

    /**
     * The state of one endpoint as observed by this instance.
     *
     * @param name the name of the endpoint
     * @param service the name of its service
     * @param zone its availability zone
     * @param state {@code live}, {@code leaving} or {@code ejected}
     * @param inFlight the number of calls of this instance in flight
     * @param reported the number of running and queued calls in the endpoint's last report
     * @param serviceMillis the mean time of a call, in milliseconds
     */
    public record EndpointView(
            String name, String service, String zone, String state, int inFlight, int reported, double serviceMillis) {}
}
