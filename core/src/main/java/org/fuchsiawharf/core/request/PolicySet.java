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
 * <p>The safety guarantees do not depend on the policies: with any set, a non-repeatable call runs at most once and a
 * request has exactly one outcome. Some policies are mutable and confined to the decision loop.
 *
 * @param selector the endpoint selection
 * @param admission the policy that admits requests and continues them between stages
 * @param retry the retry policy
 * @param hedge the hedging policy for late calls
 * @param timeout the timeout policy for attempts
 * @param health the ejection policy for endpoints
 * @param limits the supplier of concurrency limits for new endpoints
 */
public record PolicySet(
        EndpointSelector selector,
        AdmissionPolicy admission,
        RetryPolicy retry,
        HedgePolicy hedge,
        TimeoutPolicy timeout,
        HealthPolicy health,
        Supplier<ConcurrencyLimit> limits) {
    private static final double CROSS_ZONE_NANOS_ATTAINMENT = 2e6;
    private static final double CROSS_ZONE_NANOS_COST = 10e6;
    private static final double PREFIX_SAVING_NANOS = 20e6;
    private static final double MAX_WAIT_NANOS = 400e6;
    private static final double MIN_WORK_SHARE_ATTAINMENT = 0.6;
    private static final double MIN_WORK_SHARE_COST = 0.9;
    private static final double HEDGE_SHARE = 0.01;
    private static final double ENDPOINT_QUEUE_SHARE = 0.25;
    private static final int BASELINE_RETRIES = 2;

    /**
     * Creates the policies for an objective.
     *
     * @param objective the objective to optimize for, not null
     * @param random the random source for endpoint sampling and retry jitter, not null
     * @return the policies, never null
     */
    public static PolicySet of(Objective objective, SplittableRandom random) {
        boolean cost = objective == Objective.COST;
        return new PolicySet(
                new ExpectedCompletionSelector(
                        random.split(),
                        cost ? CROSS_ZONE_NANOS_COST : CROSS_ZONE_NANOS_ATTAINMENT,
                        PREFIX_SAVING_NANOS),
                new DeadlineAdmission(MAX_WAIT_NANOS, cost ? MIN_WORK_SHARE_COST : MIN_WORK_SHARE_ATTAINMENT),
                new BudgetedRetry(random.split()),
                cost ? new NoHedge() : new BudgetedHedge(HEDGE_SHARE),
                new AdaptiveTimeout(),
                new OutlierEjection(),
                () -> new AdaptiveConcurrencyLimit(ENDPOINT_QUEUE_SHARE));
    }

    /**
     * Creates the baseline policies for comparisons: round robin, two immediate retries, and neither admission control,
     * hedging, timeouts, ejection nor concurrency limits.
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
