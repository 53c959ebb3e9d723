package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.stream.IntStream;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/** Tests an owner that is connected to a large fleet and an instance that is connected to the owner only. */
class TestOwnerSuspicion {
    private static final int FLEET = 76;
    private static final int BATCH = 4;
    private static final long HOP_NANOS = 1_000_000;

    private final PoolFixture fixture = new PoolFixture(BATCH, 100, "a", "a");
    private final Member owner = new Member("owner", 1, "a", "10.0.0.1", 7_000, 1e5);
    private final Member waiter = new Member("waiter", 1, "b", "10.0.0.2", 7_000, 1e-5);
    private final Map<String, StagePools> poolsByName = new HashMap<>();
    private final LinkedPeers ownerPeers = new LinkedPeers(owner, connectedFleet());
    private final LinkedPeers waiterPeers = new LinkedPeers(waiter, List.of(owner.name()));
    private final List<PieceResult> results = new ArrayList<>();

    /** Delivers messages between the owner and the waiter after one hop, and only counts those to the other peers. */
    private final class LinkedPeers implements PeerPort {
        private final Member self;
        private final List<String> connected;
        private final List<String> reconnected = new ArrayList<>();
        private final Map<String, Integer> sentByPeer = new HashMap<>();
        private boolean cut;

        private LinkedPeers(Member self, List<String> connected) {
            this.self = self;
            this.connected = connected;
        }

        @Override
        public void setDesiredPeers(Collection<Member> peers) {}

        @Override
        public boolean send(String peer, PeerMessage message) {
            sentByPeer.merge(peer, 1, Integer::sum);
            StagePools receiver = poolsByName.get(peer);
            if (receiver != null && !cut) {
                fixture.timers.schedule(
                        fixture.timers.now() + HOP_NANOS, () -> receiver.onMessage(self.name(), message));
            }
            return true;
        }

        @Override
        public void reconnect(String peer) {
            reconnected.add(peer);
        }

        @Override
        public boolean isConnected(String peer) {
            return connected.contains(peer);
        }

        @Override
        public Collection<String> getConnectedPeers() {
            return connected;
        }
    }

    TestOwnerSuspicion() {
        start(owner, waiter, ownerPeers);
        start(waiter, owner, waiterPeers);
        fixture.advance(5_000);
    }

    private List<String> connectedFleet() {
        List<String> names = new ArrayList<>(List.of(waiter.name()));
        IntStream.range(1, FLEET).forEach(i -> names.add("m" + i));
        return names;
    }

    private void start(Member self, Member other, PeerPort peers) {
        MemberTable members = new MemberTable(self);
        members.replace(List.of(other));
        StagePools pools = new StagePools(members, peers, fixture.context);
        poolsByName.put(self.name(), pools);
        pools.setServices(
                List.of(new ServiceSpec(PoolFixture.SERVICE, new PieceService(1, 2, BATCH, 200, 20, 100, 4_000))));
        pools.start();
    }

    private void submitFullBatch() {
        List<PieceOrder> orders = IntStream.range(0, BATCH)
                .mapToObj(i -> PoolFixture.order("r", i, fixture.terms(5_000, 60_000)))
                .toList();
        Objects.requireNonNull(poolsByName.get(waiter.name())).submit(PoolFixture.SERVICE, orders, results::add);
    }

    @Test
    void waitingInstanceDoesNotSuspectOwnerWithManyConnections() {
        for (int i = 0; i < 10; i++) {
            submitFullBatch();
            fixture.advance(700);
            assertThat(waiterPeers.reconnected, is(empty()));
            assertThat(fixture.calls.sent, hasSize(i + 1));
            fixture.calls.last().answerProduced();
            fixture.advance(137);
            assertThat(results, hasSize(BATCH * (i + 1)));
        }
    }

    @Test
    void delayedInstanceDoesNotTakeItsOwnDelayForSilence() {
        submitFullBatch();
        fixture.advance(300);
        fixture.timers.advance(fixture.timers.now() + 900 * PoolFixture.MILLI);
        assertThat(waiterPeers.reconnected, is(empty()));
        ownerPeers.cut = true;
        fixture.advance(1_000);
        assertThat(waiterPeers.reconnected, is(not(empty())));
    }

    @Test
    void waitingInstanceSuspectsOwnerThatIsCutOffWithinASecond() {
        submitFullBatch();
        ownerPeers.cut = true;
        fixture.advance(1_000);
        assertThat(waiterPeers.reconnected, is(not(empty())));
    }

    @Test
    void ownerSendsOnlyFewHeartbeatsToInstancesThatDoNotWait() {
        ownerPeers.sentByPeer.clear();
        submitFullBatch();
        fixture.advance(1_000);
        assertThat(ownerPeers.sentByPeer.get("m1"), is(lessThanOrEqualTo(1)));
    }
}
