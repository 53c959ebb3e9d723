package org.fuchsiawharf.core.request;

import java.util.SplittableRandom;
import java.util.function.Supplier;

import org.fuchsiawharf.core.health.HealthPolicy;
import org.fuchsiawharf.core.health.NoEjection;
import org.fuchsiawharf.core.health.OutlierEjection;
import org.fuchsiawharf.core.limits.AdaptiveConcurrencyLimit;
import org.fuchsiawharf.core.limits.AdmissionPolicy;
import org.fuchsiawharf.core.limits.AdmitAll;
import org.fuchsiawharf.core.limits.ConcurrencyLimit;
import org.fuchsiawharf.core.limits.DeadlineAdmission;
import org.fuchsiawharf.core.limits.NoConcurrencyLimit;
import org.fuchsiawharf.core.model.Objective;
import org.fuchsiawharf.core.retry.AdaptiveTimeout;
import org.fuchsiawharf.core.retry.BudgetedHedge;
import org.fuchsiawharf.core.retry.BudgetedRetry;
import org.fuchsiawharf.core.retry.HedgePolicy;
import org.fuchsiawharf.core.retry.ImmediateRetry;
import org.fuchsiawharf.core.retry.NoHedge;
import org.fuchsiawharf.core.retry.NoTimeout;
import org.fuchsiawharf.core.retry.RetryPolicy;
import org.fuchsiawharf.core.retry.TimeoutPolicy;
import org.fuchsiawharf.core.routing.EndpointSelector;
import org.fuchsiawharf.core.routing.ExpectedCompletionSelector;
import org.fuchsiawharf.core.routing.RoundRobinSelector;

/**
 * The policies of one instance.
 *
 * <p>The promises do not depend on it: with any set, a non-repeatable call runs at most once and a request has
 * one outcome. Holds mutable parts that are confined to the decision loop.
 *
 * @param selector chooses endpoints
 * @param admission decides what is started and continued
 * @param retry decides on repeats
 * @param hedge decides on second calls beside late ones
 * @param timeout bounds silent attempts
 * @param health ejects endpoints
 * @param limits makes the limit of a new endpoint
 */
public record PolicySet(
        EndpointSelector selector,
        AdmissionPolicy admission,
        RetryPolicy retry,
        HedgePolicy hedge,
        TimeoutPolicy timeout,
        HealthPolicy health,
        Supplier<ConcurrencyLimit> limits) {
    private static final double CROSSING_NANOS_ATTAINMENT = 2e6;
    private static final double CROSSING_NANOS_COST = 10e6;
    private static final double PREFIX_SAVING_NANOS = 20e6;
    private static final double MAX_WAIT_NANOS = 400e6;
    private static final double STOP_SHARE_ATTAINMENT = 0.6;
    private static final double STOP_SHARE_COST = 0.9;
    private static final double HEDGE_SHARE = 0.01;
    private static final double ENDPOINT_QUEUE_SHARE = 0.25;
    private static final int BASELINE_RETRIES = 2;

    /**
     * Creates the policies that serve an objective.
     *
     * @param objective what matters most, not null
     * @param random the source of samples and jitter, not null
     * @return the policies, never null
     */
    public static PolicySet of(Objective objective, SplittableRandom random) {
        boolean cost = objective == Objective.COST;
        return new PolicySet(
                new ExpectedCompletionSelector(
                        random.split(), cost ? CROSSING_NANOS_COST : CROSSING_NANOS_ATTAINMENT, PREFIX_SAVING_NANOS),
                new DeadlineAdmission(MAX_WAIT_NANOS, cost ? STOP_SHARE_COST : STOP_SHARE_ATTAINMENT),
                new BudgetedRetry(random.split()),
                cost ? new NoHedge() : new BudgetedHedge(HEDGE_SHARE),
                new AdaptiveTimeout(),
                new OutlierEjection(),
                () -> new AdaptiveConcurrencyLimit(ENDPOINT_QUEUE_SHARE));
    }

    /**
     * Creates the baseline that the policies are measured against: round robin, two immediate retries, no
     * admission.
     *
     * @return the policies, never null
     */
    public static PolicySet baseline() {
        return new PolicySet(
                new RoundRobinSelector(),
                new AdmitAll(),
                new ImmediateRetry(BASELINE_RETRIES),
                new NoHedge(),
                new NoTimeout(),
                new NoEjection(),
                NoConcurrencyLimit::new);
    }
}
