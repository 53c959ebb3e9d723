package org.fuchsiawharf.core.limits;

import java.util.List;
import java.util.SplittableRandom;
import java.util.function.Function;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.routing.EndpointState;

/**
 * Divides the requests per second that an endpoint accepts among the instances, without communication.
 *
 * <p>Only a few instances, ranked by the name of the endpoint, send their part of the limit: in any window, each
 * instance can exceed its part by one request, so that the sum exceeds the limit by the number of senders at most. All
 * others together send a small fixed rate of requests, by which they learn when the limit ends. The endpoints of a
 * stage service receive their requests from the owner of their pool.
 *
 * <p>Confined to the decision loop.
 */
public final class RequestShares {
    /** Minimum number of senders, so that the endpoint stays in use if one of them fails. */
    private static final int MIN_SENDERS = 2;
    /** Rate at which all instances but the senders together send requests. */
    private static final double OTHERS_PER_SECOND = 0.25;

    private static final double NANOS_PER_SECOND = 1e9;

    private final MemberTable members;
    private final SplittableRandom random;
    private Function<Endpoint, List<Member>> stageOwners = endpoint -> List.of();

    /**
     * Creates shares.
     *
     * @param members the live instances, not null
     * @param random spreads the first requests of the instances, not null
     */
    public RequestShares(MemberTable members, SplittableRandom random) {
        this.members = members;
        this.random = random;
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
     * Applies the limit that an endpoint named, or its absence, in a response.
     *
     * @param endpoint the endpoint, not null
     * @param perSecond the requests per second; 0 if the response names no limit
     * @param sentNanos the time at which the request of the response was sent, in nanoseconds
     * @param nowNanos the current time, in nanoseconds
     * @return true if the limit changed
     */
    public boolean onNamed(EndpointState endpoint, double perSecond, long sentNanos, long nowNanos) {
        if (perSecond > 0 && endpoint.getRequestLimit().getPerSecond() == 0) {
            endpoint.getRequestLimit().setShare(() -> getIntervalNanos(endpoint), random.nextDouble());
        }
        return endpoint.getRequestLimit().onNamed(perSecond, sentNanos, nowNanos);
    }

    /**
     * Gets the interval between two requests of this instance to a limited endpoint.
     *
     * @param endpoint the endpoint, not null
     * @return the interval in nanoseconds; 0 if the endpoint names no limit
     */
    public long getIntervalNanos(EndpointState endpoint) {
        double perSecond = endpoint.getRequestLimit().getPerSecond();
        if (perSecond == 0) {
            return 0;
        }
        List<Member> owners = stageOwners.apply(endpoint.getEndpoint());
        boolean owned = !owners.isEmpty();
        List<Member> ranked =
                owned ? owners : members.rankOwners(endpoint.getEndpoint().name());
        int senders = Math.min(ranked.size(), owned ? 1 : Math.max(MIN_SENDERS, 1 + (int) perSecond));
        double senderSeconds = senders / perSecond;
        boolean isSender = ranked.indexOf(members.getSelf()) < senders;
        double seconds =
                isSender ? senderSeconds : Math.max(senderSeconds, (ranked.size() - senders) / OTHERS_PER_SECOND);
        return (long) (seconds * NANOS_PER_SECOND);
    }
}
