package org.fuchsiawharf.core.limits;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.function.Function;
import java.util.function.LongSupplier;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.routing.Brittleness;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.ServicePool;

/**
 * Divides the room at brittle endpoints among the instances, without communication, so that a service beyond its
 * capacity rejects hardly any request.
 *
 * <p>Each slot of an endpoint belongs to one instance: all instances have an equal number of slots, and those that rank
 * first by the name of the endpoint have one of the rest. An instance has at most as many calls in flight as it has
 * slots, so that the calls of all instances together fit, whatever the age of load reports. Instances without a slot
 * together send a small fixed rate of requests, by which they learn when the endpoint is no longer brittle. The
 * instances that an endpoint has rejected back off for so long that their next rejections, if all of them are rejected
 * again, stay below its maximum; not after rejections while calls from before the notice fill the endpoint.
 *
 * <p>The shares grow while reports show idle slots, and shrink after reports of waiting calls and after rejections. The
 * endpoints of a service become brittle together: an endpoint that has not responded since another one of its service
 * became brittle is treated likewise. The endpoints of a stage service receive their calls from the owner of their
 * pool, which has all of their room.
 *
 * <p>Confined to the decision loop.
 */
public final class BrittleShares {
    /** Minimum time without requests after a rejection. */
    private static final double MIN_BACKOFF_SECONDS = 1;
    /** Part of the maximum of rejections that the requests after a back-off can reach. */
    private static final double BACKOFF_REJECTION_SHARE = 0.5;
    /** Random part that is added to a back-off, relative to it. */
    private static final double BACKOFF_SPREAD = 0.5;
    /** Part of the maximum of rejections that the requests of all instances without a slot can reach. */
    private static final double OTHERS_REJECTION_SHARE = 0.25;
    /** Minimum rate at which all instances without a slot together send requests. */
    private static final double MIN_OTHERS_PER_SECOND = 0.25;

    /** Time for which the calls of all instances together do not exceed the slots of a new endpoint. */
    private static final long NEW_ENDPOINT_NANOS = 2_000_000_000L;

    private static final double NANOS_PER_SECOND = 1e9;

    private final MemberTable members;
    private final LongSupplier clock;
    private final SplittableRandom random;
    private final Map<String, BrittleService> services = new HashMap<>();
    private Function<Endpoint, List<Member>> stageOwners = endpoint -> List.of();

    /**
     * Creates shares.
     *
     * @param members the live instances, not null
     * @param clock gets the current time, in nanoseconds, not null
     * @param random spreads the requests of the instances, not null
     */
    public BrittleShares(MemberTable members, LongSupplier clock, SplittableRandom random) {
        this.members = members;
        this.clock = clock;
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

    // -----------------------------------------------------------------------

    /**
     * Applies a listing of endpoints.
     *
     * @param endpoints all known endpoints, not null
     */
    public void onListed(Collection<EndpointState> endpoints) {
        services.values().forEach(service -> service.retainEndpoints(endpoints));
        for (EndpointState endpoint : endpoints) {
            endpoint.getBrittleness().setDivision(() -> new RoomDivision(endpoint.getEndpoint()));
        }
    }

    /**
     * Applies that an endpoint stated in a response that it is brittle, or did not.
     *
     * @param endpoint the endpoint, not null
     * @param maxRejections the requests per second that the endpoint can reject for want of room, at least 0; {@link
     *     Brittleness#NONE} if it is not brittle
     * @param sentNanos the time at which the request of the response was sent, in nanoseconds
     * @return true if the maximum changed
     */
    public boolean onNamed(EndpointState endpoint, double maxRejections, long sentNanos) {
        long now = clock.getAsLong();
        boolean changed = endpoint.getBrittleness().onNamed(maxRejections, sentNanos, now);
        BrittleService service = getService(endpoint.getEndpoint());
        if (endpoint.getBrittleness().isNamed()) {
            service.onBrittle(endpoint.getProcess(), endpoint.getBrittleness().getMaxRejections(), now);
        } else {
            service.onSound(endpoint.getProcess());
        }
        return changed;
    }

    /**
     * Reserves room for a call that follows after other work, until {@link #release}.
     *
     * @param pool the endpoints that can run the call, not null
     * @return false if all are brittle, and this instance has reserved its part of their room
     */
    public boolean tryReserve(ServicePool pool) {
        long room = 0;
        for (EndpointState endpoint : pool.getEndpoints()) {
            room += endpoint.isLeaving() ? 0 : endpoint.getBrittleness().getShare(endpoint.getSlots());
        }
        return services.computeIfAbsent(pool.getService(), s -> new BrittleService())
                .tryReserve(Math.max(1, room));
    }

    /**
     * Ends a reservation.
     *
     * @param pool the endpoints that can run the call, not null
     */
    public void release(ServicePool pool) {
        services.computeIfAbsent(pool.getService(), s -> new BrittleService()).release();
    }

    private BrittleService getService(Endpoint endpoint) {
        return services.computeIfAbsent(endpoint.service(), s -> new BrittleService());
    }

    // -----------------------------------------------------------------------

    /** The part of this instance of the room at one endpoint. */
    private final class RoomDivision implements Brittleness.Division {
        private final Endpoint endpoint;
        private final BrittleService service;
        private final long createdNanos = clock.getAsLong();
        private final double firstDelayShare = random.nextDouble();

        private RoomDivision(Endpoint endpoint) {
            this.endpoint = endpoint;
            this.service = getService(endpoint);
        }

        @Override
        public long now() {
            return clock.getAsLong();
        }

        @Override
        public double getAssumedMaxRejections(long lastAbsentNanos) {
            return service.getMaxRejections(lastAbsentNanos);
        }

        private boolean isOwned() {
            return !stageOwners.apply(endpoint).isEmpty();
        }

        @Override
        public int getUsualSlots(int defaultSlots) {
            return service.getSlots(defaultSlots);
        }

        @Override
        public int getShare(int slots) {
            if (isOwned()) {
                return Integer.MAX_VALUE;
            }
            // A sole instance knows all calls; those to a new endpoint start together.
            boolean exact = members.size() == 1 || now() < createdNanos + NEW_ENDPOINT_NANOS;
            double factor = exact ? Math.min(1, service.getUseFactor()) : service.getUseFactor();
            int room = Math.max(1, (int) (slots * factor));
            int rank = members.rankOwners(endpoint.name()).indexOf(members.getSelf());
            return room / members.size() + (rank < room % members.size() ? 1 : 0);
        }

        @Override
        public long getNextSendNanos(long lastSentNanos, double maxRejections) {
            double perSecond = Math.max(MIN_OTHERS_PER_SECOND, OTHERS_REJECTION_SHARE * maxRejections);
            double intervalNanos = members.size() / perSecond * NANOS_PER_SECOND;
            long startNanos = Math.max(service.getStartedNanos(), createdNanos);
            // The first requests of the instances are spread over an interval.
            return lastSentNanos < startNanos
                    ? startNanos + (long) (firstDelayShare * intervalNanos)
                    : lastSentNanos + (long) intervalNanos;
        }

        @Override
        public long drawBackoffNanos(int slots, double maxRejections, long sentNanos) {
            int senders = isOwned() ? 1 : Math.min(slots, members.size());
            double sharedSeconds = senders / Math.max(1, maxRejections) / BACKOFF_REJECTION_SHARE;
            double seconds = service.isBoundByShares(sentNanos)
                    ? Math.max(MIN_BACKOFF_SECONDS, sharedSeconds)
                    : MIN_BACKOFF_SECONDS;
            return (long) (seconds * (1 + BACKOFF_SPREAD * random.nextDouble()) * NANOS_PER_SECOND);
        }

        @Override
        public void onReport(boolean brittle, int running, int waiting, int slots) {
            service.onReport(brittle, running, waiting, slots);
        }

        @Override
        public void onAccepted() {
            service.onAccepted();
        }

        @Override
        public void onRejected(long sentNanos) {
            service.onRejected(sentNanos);
        }
    }
}
