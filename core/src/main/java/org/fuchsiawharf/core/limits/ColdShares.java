package org.fuchsiawharf.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.route.ColdStart;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.RequestLimit;

/**
 * Divides the requests that a cold endpoint bears among the instances, without communication.
 *
 * <p>Answers the load that an endpoint attracts when it returns empty, alone or with all endpoints of its availability
 * zone. A few instances, ranked by the name of the endpoint and those of its zone first, send their part of the rate;
 * the others send nothing until the endpoint is warm. In any second each sender exceeds its part by one request at
 * most. The parts add up to half of the bound, so that the bound holds although two groups of instances know different
 * members for a time.
 *
 * <p>Confined to the decision loop.
 */
public final class ColdShares {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final long NANOS_PER_MILLI = 1_000_000L;
    /** Part of the bound that the instances of one view of the members use. */
    private static final double USED_SHARE = 0.5;
    /** Part of what is used that is left for the requests by which senders exceed their parts, one for each sender. */
    private static final double SENDERS_SHARE = 0.32;

    private final MemberTable members;
    private final Tolerance tolerance;
    private final Map<String, ColdStart> byService = new HashMap<>();
    private Function<Endpoint, List<Member>> stageOwners = endpoint -> List.of();

    /**
     * What a cold endpoint may receive in one second at most, from all instances together.
     *
     * @param factor the multiple of the rate that the endpoint bears, at least 1
     * @param allowance the number of requests beyond it, at least 0
     */
    public record Tolerance(double factor, double allowance) {
        /** No request beyond the rate that the endpoint bears. */
        public static final Tolerance NONE = new Tolerance(1, 0);
    }

    /**
     * Creates shares without services.
     *
     * @param members the live instances, not null
     * @param tolerance what may go beyond the rate of a cold endpoint, not null
     */
    public ColdShares(MemberTable members, Tolerance tolerance) {
        this.members = members;
        this.tolerance = tolerance;
    }

    /**
     * Sets the ranking of the instances for the endpoints of stage services, which are called by the owner of their pool.
     *
     * @param ranking ranks every member for an endpoint, the owner first; empty for other endpoints; not null
     */
    public void setStageOwners(Function<Endpoint, List<Member>> ranking) {
        stageOwners = ranking;
    }

    /**
     * Applies the services of a configuration.
     *
     * @param specs all services, not null
     */
    public void setServices(Collection<ServiceSpec> specs) {
        byService.clear();
        specs.forEach(spec -> byService.put(spec.name(), spec.coldStart()));
    }

    /**
     * Limits the requests to an endpoint that states that it is cold, or was found to be.
     *
     * @param endpoint the endpoint, not null
     * @param untilNanos the time at which the endpoint is warm, in nanoseconds, at most the duration of a start from now;
     *     a later time that is known is kept
     * @param nowNanos the current time, in nanoseconds
     * @return true if the endpoint was not known to be cold
     */
    public boolean onCold(EndpointState endpoint, long untilNanos, long nowNanos) {
        if (!getColdStart(endpoint).isLimited() || untilNanos <= nowNanos) {
            return false;
        }
        RequestLimit limit = endpoint.getRequestLimit();
        boolean warm = !limit.isCold(nowNanos);
        long longestNanos = nowNanos + getColdStart(endpoint).durationMillis() * NANOS_PER_MILLI;
        limit.limitWhileCold(Math.min(untilNanos, longestNanos), () -> getIntervalNanos(endpoint));
        return warm;
    }

    /**
     * Limits the requests to the endpoints of availability zones that return to use, for the time of a start.
     *
     * @param endpoints all endpoints, not null
     * @param zones the zones that return to use, not null
     * @param nowNanos the current time, in nanoseconds
     * @return the number of endpoints that were not known to be cold
     */
    public int onReturned(Collection<EndpointState> endpoints, Set<String> zones, long nowNanos) {
        int count = 0;
        for (EndpointState endpoint : endpoints) {
            long durationNanos = getColdStart(endpoint).durationMillis() * NANOS_PER_MILLI;
            boolean returned = zones.contains(endpoint.getEndpoint().zone());
            count += returned && onCold(endpoint, nowNanos + durationNanos, nowNanos) ? 1 : 0;
        }
        return count;
    }

    /**
     * Gets the interval between two requests of this instance to a cold endpoint.
     *
     * @param endpoint the endpoint, not null
     * @return the interval in nanoseconds; {@link RequestLimit#NEVER} if this instance sends none
     */
    public long getIntervalNanos(EndpointState endpoint) {
        double perSecond = getColdStart(endpoint).requestsPerSecond();
        double bound = USED_SHARE * (perSecond * tolerance.factor() + tolerance.allowance());
        List<Member> owners = stageOwners.apply(endpoint.getEndpoint());
        int senders = owners.isEmpty() ? Math.max(1, (int) (SENDERS_SHARE * bound)) : 1;
        List<Member> ranked = owners.isEmpty()
                ? members.rankOwners(
                        endpoint.getEndpoint().name(), endpoint.getEndpoint().zone())
                : owners;
        int rank = ranked.indexOf(members.getSelf());
        if (rank < 0 || rank >= senders) {
            return RequestLimit.NEVER;
        }
        // With a bound below two requests a second, only longer intervals keep it.
        double rate = Math.max(Math.min(perSecond, bound - senders), perSecond / 4);
        return (long) (Math.min(senders, ranked.size()) / rate * NANOS_PER_SECOND);
    }

    private ColdStart getColdStart(EndpointState endpoint) {
        return byService.getOrDefault(endpoint.getEndpoint().service(), ColdStart.NONE);
    }
}
