package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The state that the components of an instance's decision loop share.
 *
 * <p>The components are mutable and, except for the thread-safe counters and the stateless rules, confined to the
 * decision loop.
 *
 * @param instance the name of the instance
 * @param timers the timer service
 * @param table the endpoint table
 * @param queues the queues of requests waiting for endpoints
 * @param estimates the latency estimates of the stages
 * @param requests the requests without an outcome
 * @param counters the counters
 * @param rules the safety rules
 */
record DecisionState(
        String instance,
        TimerService timers,
        EndpointTable table,
        StageQueues queues,
        StageEstimates estimates,
        ActiveRequests requests,
        Counters counters,
        SafetyRules rules) {
    /**
     * Creates the initial state of an instance, without endpoints or requests.
     *
     * @param instance the name of the instance, not null
     * @param zone the availability zone of the instance, not null
     * @param policies the policies, not null
     * @param startNanos the start time, in nanoseconds
     * @param rules the safety rules, not null
     * @return the state, never null
     */
    static DecisionState of(String instance, String zone, PolicySet policies, long startNanos, SafetyRules rules) {
        return new DecisionState(
                instance,
                new TimerService(startNanos),
                new EndpointTable(zone, policies.limits()),
                new StageQueues(policies.admission().getQueueCapacity()),
                new StageEstimates(),
                new ActiveRequests(),
                new Counters(),
                rules);
    }
}
