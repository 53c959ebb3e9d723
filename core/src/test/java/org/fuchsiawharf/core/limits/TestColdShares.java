package org.fuchsiawharf.core.limits;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.model.EndpointStatus;
import org.fuchsiawharf.core.route.ColdStart;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.fuchsiawharf.core.routing.EndpointState;
import org.fuchsiawharf.core.routing.EndpointTable;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static java.util.Objects.requireNonNull;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/** Plays instances that send to a cold endpoint whenever their share permits it, the heaviest load it can get. */
class TestColdShares {
    private static final long SECOND = 1_000_000_000L;
    private static final long COLD_MILLIS = 3_000;
    private static final ColdShares.Tolerance TOLERANCE = new ColdShares.Tolerance(1.5, 5);

    private final SplittableRandom random = new SplittableRandom(3);

    /** An instance and the members that it knows. */
    private final class Sender {
        private final EndpointTable table = new EndpointTable("z0", NoConcurrencyLimit::new);
        private final ColdShares shares;

        private Sender(Member self, List<Member> known, double perSecond) {
            MemberTable members = new MemberTable(self);
            members.replace(known);
            shares = new ColdShares(members, TOLERANCE);
            shares.setServices(List.of(new ServiceSpec("s", null, 10, new ColdStart(COLD_MILLIS, perSecond))));
            table.update(List.of(new EndpointStatus(new Endpoint("e", "s", "z1", "10.0.0.1", 80), false)));
        }

        private EndpointState endpoint() {
            return requireNonNull(table.getEndpoint("e"));
        }
    }

    private static Member member(int index) {
        return new Member("m" + index, 1, "z" + index % 4, "10.0.1." + index, 7_000, 1);
    }

    private List<Sender> fleet(int size, int known, double perSecond) {
        List<Sender> fleet = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            int first = i / known * known;
            List<Member> members = IntStream.range(first, Math.min(size, first + known))
                    .mapToObj(TestColdShares::member)
                    .toList();
            fleet.add(new Sender(member(i), members, perSecond));
        }
        return fleet;
    }

    /** Gets the times of all sends until the endpoint is warm, each instance trying every few milliseconds. */
    private List<Long> sendWhileCold(List<Sender> fleet) {
        List<Long> sent = new ArrayList<>();
        long until = COLD_MILLIS / 1_000 * SECOND;
        fleet.forEach(sender -> sender.shares.onCold(sender.endpoint(), until, 0));
        for (long now = 0; now < until; now += SECOND / 200 + random.nextLong(SECOND / 400)) {
            for (Sender sender : fleet) {
                if (sender.endpoint().getRequestLimit().maySend(now)) {
                    sender.endpoint().getRequestLimit().onSent(now);
                    sent.add(now);
                }
            }
        }
        return sent;
    }

    private static long maxInOneSecond(List<Long> sent) {
        return sent.stream()
                .mapToLong(start -> sent.stream()
                        .filter(t -> t >= start && t < start + SECOND)
                        .count())
                .max()
                .orElse(0);
    }

    private static int bound(double perSecond) {
        return (int) (perSecond * TOLERANCE.factor() + TOLERANCE.allowance());
    }

    // Instances sent an endpoint that had just started more requests in one second than it bears.
    @ParameterizedTest
    @CsvSource({"1, 9.7", "3, 9.7", "68, 9.7", "360, 9.7", "68, 1", "68, 50", "68, 0.5"})
    void fleetStaysWithinToleranceAndUsesEndpoint(int instances, double perSecond) {
        List<Long> sent = sendWhileCold(fleet(instances, instances, perSecond));
        assertThat(maxInOneSecond(sent), is(lessThanOrEqualTo((long) bound(perSecond))));
        assertThat(sent.size(), is(greaterThan(0)));
    }

    // Two groups of instances that do not hear each other added up to more than the bound.
    @Test
    void twoGroupsThatDoNotKnowEachOtherStayWithinTolerance() {
        List<Long> sent = sendWhileCold(fleet(68, 34, 9.7));
        assertThat(maxInOneSecond(sent), is(lessThanOrEqualTo((long) bound(9.7))));
    }

    @Test
    void warmEndpointIsNotLimited() {
        Sender sender = fleet(68, 68, 9.7).get(0);
        sender.shares.onCold(sender.endpoint(), COLD_MILLIS / 1_000 * SECOND, 0);
        assertThat(sender.endpoint().getRequestLimit().isCold(SECOND), is(true));
        long warm = COLD_MILLIS / 1_000 * SECOND;
        sender.endpoint().getRequestLimit().onSent(warm);
        assertThat(sender.endpoint().getRequestLimit().maySend(warm), is(true));
    }

    @Test
    void endpointOfServiceWithoutLimitIsNeverLimited() {
        Sender sender = fleet(1, 1, 0).get(0);
        assertThat(sender.shares.onCold(sender.endpoint(), SECOND, 0), is(false));
        sender.endpoint().getRequestLimit().onSent(0);
        assertThat(sender.endpoint().getRequestLimit().maySend(1), is(true));
    }

    // The endpoints of a zone received the whole load at once when the zone was taken back.
    @Test
    void endpointsOfZoneThatReturnsCountAsCold() {
        Sender sender = fleet(1, 1, 9.7).get(0);
        assertThat(sender.shares.onReturned(sender.table.getEndpoints(), Set.of("z0"), 0), is(0));
        assertThat(sender.shares.onReturned(sender.table.getEndpoints(), Set.of("z1"), 0), is(1));
        assertThat(sender.endpoint().getRequestLimit().isCold(COLD_MILLIS / 1_000 * SECOND - 1), is(true));
    }
}
