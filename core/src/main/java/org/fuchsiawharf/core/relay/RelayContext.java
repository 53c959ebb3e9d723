package org.fuchsiawharf.core.relay;

import java.util.SplittableRandom;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.routing.EndpointSelector;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * What the requests of one instance share.
 *
 * <p>The record never changes; its parts are confined to the decision loop unless they say otherwise.
 *
 * @param table the endpoints
 * @param selector chooses among them
 * @param health decides which of them are left alone
 * @param pools make the pieces of stages
 * @param calls sends requests
 * @param budget bounds repeats
 * @param admission decides what is taken on
 * @param timers the timer service
 * @param random the source of draws
 * @param log takes decisions
 * @param meters takes counts and durations
 */
public record RelayContext(
        EndpointTable table,
        EndpointSelector selector,
        HealthPolicy health,
        StagePools pools,
        EndpointCalls calls,
        SharedRetryBudget budget,
        RequestAdmission admission,
        TimerService timers,
        SplittableRandom random,
        DecisionLog log,
        Meters meters) {}
