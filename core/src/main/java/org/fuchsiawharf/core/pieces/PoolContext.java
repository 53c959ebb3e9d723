package org.fuchsiawharf.core.pieces;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The components that all stage pools of an instance share.
 *
 * <p>Immutable; the components are confined to the decision loop unless documented otherwise.
 *
 * @param table the endpoints
 * @param health decides which endpoints are ejected
 * @param calls sends batches to endpoints
 * @param timers the timer service
 * @param budget limits retries
 * @param log records decisions
 * @param meters records counts and durations
 */
public record PoolContext(
        EndpointTable table,
        HealthPolicy health,
        PieceCalls calls,
        TimerService timers,
        SharedRetryBudget budget,
        DecisionLog log,
        Meters meters) {}
