package org.fuchsiawharf.core.pieces;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * What all stage pools of an instance share.
 *
 * <p>The record never changes; its parts are confined to the decision loop unless they say otherwise.
 *
 * @param table the endpoints
 * @param health decides which endpoints are left alone
 * @param calls sends batches
 * @param timers the timer service
 * @param budget bounds repeats
 * @param log takes decisions
 * @param meters takes counts and durations
 */
public record PoolContext(
        EndpointTable table,
        HealthPolicy health,
        PieceCalls calls,
        TimerService timers,
        SharedRetryBudget budget,
        DecisionLog log,
        Meters meters) {}
