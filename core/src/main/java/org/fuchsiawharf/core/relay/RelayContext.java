package org.fuchsiawharf.core.relay;

import java.util.SplittableRandom;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.limits.BrittleShares;
import org.fuchsiawharf.core.limits.ColdShares;
import org.fuchsiawharf.core.limits.IdleConnectionLimits;
import org.fuchsiawharf.core.limits.RequestShares;
import org.fuchsiawharf.core.log.DecisionLog;
import org.fuchsiawharf.core.log.Meters;
import org.fuchsiawharf.core.pieces.StagePools;
import org.fuchsiawharf.core.quarantine.CrashQuarantine;
import org.fuchsiawharf.core.retry.Hedging;
import org.fuchsiawharf.core.retry.SharedRetryBudget;
import org.fuchsiawharf.core.routing.EndpointSelector;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.fuchsiawharf.core.stream.StreamOrigins;
import org.fuchsiawharf.core.time.TimerService;

/**
 * The components that the requests of one instance share.
 *
 * <p>The record is immutable; its components are confined to the decision loop unless documented otherwise.
 *
 * @param table the endpoints and their states
 * @param selector selects the endpoint for a request
 * @param health decides which endpoints are ejected
 * @param pools process the pieces of stages
 * @param calls sends requests to endpoints
 * @param budget limits retries
 * @param hedging limits and delays hedges
 * @param idleConnections limits the idle connections to endpoints
 * @param requestShares divides the request limits of endpoints among the instances
 * @param brittleShares divides the room at brittle endpoints among the instances
 * @param coldShares divides the requests that cold endpoints bear among the instances
 * @param quarantine finds prompt parts and requests under which endpoints crash
 * @param origins finds the software versions that began streams
 * @param admission decides which requests are admitted
 * @param timers the timer service
 * @param random the random number generator
 * @param log records decisions
 * @param meters records counts and durations
 */
public record RelayContext(
        EndpointTable table,
        EndpointSelector selector,
        HealthPolicy health,
        StagePools pools,
        EndpointCalls calls,
        SharedRetryBudget budget,
        Hedging hedging,
        IdleConnectionLimits idleConnections,
        RequestShares requestShares,
        BrittleShares brittleShares,
        ColdShares coldShares,
        CrashQuarantine quarantine,
        StreamOrigins origins,
        RequestAdmission admission,
        TimerService timers,
        SplittableRandom random,
        DecisionLog log,
        Meters meters) {}
