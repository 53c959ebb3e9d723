package org.fuchsiawharf.core.request;

import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The state that the parts of one instance's decisions share.
 *
 * <p>Its parts change; all are confined to the decision loop, but for the counters.
 *
 * @param instance the instance's name
 * @param timers the timer service
 * @param table the endpoints
 * @param queues the queues
 * @param estimates the stages' estimates
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
     * Creates the state of an instance that knows nothing yet.
     *
     * @param instance the instance's name, not null
     * @param zone its availability zone, not null
     * @param policies its policies, not null
     * @param startNanos the time
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
