package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.model.Endpoint;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Tests a fleet whose instances reach each other but not all of them the store; each holds a lease there. */
class TestOwnershipWithoutStore {
    private static final int FLEET = 77;
    private static final int CUT_OFF = 27;
    private static final long HOP_NANOS = PoolFixture.MILLI;
    private static final long CALL_NANOS = 300 * PoolFixture.MILLI;

    private final PoolFixture fixture = new PoolFixture(17, 100, "a", "b", "c");
    private final List<Member> fleet = IntStream.range(0, FLEET)
            .mapToObj(i -> new Member("m" + i, 1, List.of("a", "b", "c").get(i % 3), "10.0.0." + i, 7_000, 1))
            .toList();
    private final List<Member> ranking = rank();
    private final Map<String, StagePools> poolsByName = new LinkedHashMap<>();
    private final Map<String, Set<String>> desiredByName = new HashMap<>();
    private final Set<String> stopped = new HashSet<>();
    private final Set<String> callers = new TreeSet<>();
    private int requests;

    private List<Member> rank() {
        MemberTable table = new MemberTable(fleet.get(0));
        table.replace(fleet);
        return table.rankOwners(PoolFixture.SERVICE);
    }

    /** Links that are open if either side wants them and neither has stopped. */
    private final class Links implements PeerPort {
        private final String self;

        private Links(String self) {
            this.self = self;
        }

        @Override
        public void setDesiredPeers(Collection<Member> peers) {
            desiredByName.put(
                    self, new HashSet<>(peers.stream().map(Member::name).toList()));
        }

        @Override
        public boolean send(String peer, PeerMessage message) {
            if (!isConnected(peer)) {
                return false;
            }
            fixture.timers.schedule(fixture.timers.now() + HOP_NANOS, () -> {
                if (!stopped.contains(self) && !stopped.contains(peer)) {
                    pools(peer).onMessage(self, message);
                }
            });
            return true;
        }

        @Override
        public void reconnect(String peer) {}

        // A connection to an instance that lost power stays open until a timeout.
        @Override
        public boolean isConnected(String peer) {
            return desiredByName.getOrDefault(self, Set.of()).contains(peer)
                    || desiredByName.getOrDefault(peer, Set.of()).contains(self);
        }

        @Override
        public Collection<String> getConnectedPeers() {
            return fleet.stream().map(Member::name).filter(this::isConnected).toList();
        }
    }

    /** Answers each call after a fixed time and records which instance made it. */
    private final class RecordingCalls implements PieceCalls {
        private final String self;

        private RecordingCalls(String self) {
            this.self = self;
        }

        @Override
        public Call send(Endpoint endpoint, List<PieceOrder> orders, Listener listener) {
            callers.add(self);
            fixture.timers.schedule(
                    fixture.timers.now() + CALL_NANOS,
                    () -> listener.onAnswered(orders.stream()
                            .map(o -> new Answer(AnswerKind.PRODUCED, endpoint.host() + ":80/" + o.id()))
                            .toList()));
            return () -> {};
        }

        @Override
        public void release(Endpoint endpoint, List<String> handles, Runnable onReleased) {
            onReleased.run();
        }

        @Override
        public void requestFreeSpace(Endpoint endpoint, Consumer<FreeSpace> onReport) {}
    }

    private StagePools pools(String name) {
        return Objects.requireNonNull(poolsByName.get(name));
    }

    private void start(Member self, Collection<Member> listed) {
        PoolContext shared = fixture.context;
        StagePools pools = new StagePools(
                new MemberTable(self),
                new Links(self.name()),
                new PoolContext(
                        shared.table(),
                        shared.health(),
                        new RecordingCalls(self.name()),
                        shared.timers(),
                        shared.budget(),
                        shared.log(),
                        shared.meters()));
        poolsByName.put(self.name(), pools);
        pools.setServices(
                List.of(new ServiceSpec(PoolFixture.SERVICE, new PieceService(1, 2, 17, 200, 10, 100, 4_000))));
        pools.setMembers(listed);
        pools.start();
    }

    private void startFleet() {
        fleet.forEach(member -> start(member, fleet));
        fixture.advance(2_000);
    }

    private void submitFromEach(Collection<Member> submitters) {
        submitters.forEach(member -> pools(member.name())
                .submit(
                        PoolFixture.SERVICE,
                        List.of(PoolFixture.order("r" + requests++, 0, fixture.terms(3_000, 6_000))),
                        result -> {}));
    }

    private void submitForSeconds(Collection<Member> submitters, int seconds) {
        callers.clear();
        for (int i = 0; i < seconds * 2; i++) {
            submitFromEach(submitters);
            fixture.advance(500);
        }
    }

    /** Ends the leases of some instances: the others list the rest, and the cut-off ones get this list from a peer. */
    private void endLeases(Collection<Member> cutOff) {
        List<Member> listed =
                fleet.stream().filter(member -> !cutOff.contains(member)).toList();
        poolsByName.values().forEach(pools -> pools.setMembers(listed));
    }

    // -----------------------------------------------------------------------

    @Test
    void instancesWithoutStoreDoNotBecomeOwnersWhileConnected() {
        startFleet();
        submitForSeconds(fleet, 2);
        assertThat(callers, contains(ranking.get(0).name()));
        endLeases(ranking.subList(FLEET - CUT_OFF, FLEET));
        submitForSeconds(fleet, 8);
        assertThat(callers, contains(ranking.get(0).name()));
    }

    @Test
    void ownerWithoutStoreKeepsItsServiceWhileConnected() {
        startFleet();
        endLeases(ranking.subList(0, CUT_OFF));
        submitForSeconds(fleet, 8);
        assertThat(callers, contains(ranking.get(0).name()));
    }

    @Test
    void startingInstancesUseOwnerThatDoesNotListThemYet() {
        Member owner = ranking.get(0);
        start(owner, List.of(owner));
        List<Member> others =
                fleet.stream().filter(member -> !member.equals(owner)).toList();
        others.forEach(member -> start(member, fleet));
        submitForSeconds(others, 2);
        assertThat(callers, contains(owner.name()));
    }

    @Test
    void ownerThatLostPowerIsReplacedAfterItsLeaseEnds() {
        startFleet();
        submitForSeconds(fleet, 2);
        Member owner = ranking.get(0);
        stopped.add(owner.name());
        fixture.advance(4_000);
        endLeases(List.of(owner));
        List<Member> others =
                fleet.stream().filter(member -> !member.equals(owner)).toList();
        submitForSeconds(others, 4);
        submitForSeconds(others, 2);
        assertThat(callers, hasSize(1));
        assertThat(callers, is(not(contains(owner.name()))));
    }

    @Test
    void instanceThatLeavesIsRemovedWhenItsLeaseEnds() {
        startFleet();
        Member owner = ranking.get(0);
        pools(owner.name()).leave();
        fixture.advance(1_000);
        endLeases(List.of(owner));
        List<Member> others =
                fleet.stream().filter(member -> !member.equals(owner)).toList();
        submitForSeconds(others, 2);
        assertThat(callers, contains(ranking.get(1).name()));
    }
}
