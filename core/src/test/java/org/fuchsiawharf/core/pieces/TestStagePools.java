package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/** Tests the pools of an instance in zone b, while the owner of the service is in zone a. */
class TestStagePools {
    private static final long LONG_DEADLINE_MILLIS = 60_000;

    private final PoolFixture fixture = new PoolFixture(4, 100, "a", "b");
    private final RecordingPeers peers = new RecordingPeers();
    private final List<PieceResult> results = new ArrayList<>();
    // The capacities differ by a factor of 100,000 each, which determines the ranking.
    private final Member owner = new Member("owner", 1, "a", "10.0.0.1", 7_000, 1e5);
    private final Member zoneOwner = new Member("zone-owner", 1, "b", "10.0.0.2", 7_000, 1);
    private final Member self = new Member("self", 1, "b", "10.0.0.3", 7_000, 1e-5);
    private final StagePools pools;

    /** A fake that records messages and is connected to the instances that a test selects. */
    private static final class RecordingPeers implements PeerPort {
        private final Map<String, List<PeerMessage>> sent = new LinkedHashMap<>();
        private final Set<String> connected = new LinkedHashSet<>();
        private final List<String> reconnectedPeers = new ArrayList<>();

        @Override
        public void setDesiredPeers(Collection<Member> peers) {
            peers.forEach(member -> connected.add(member.name()));
        }

        @Override
        public boolean send(String member, PeerMessage message) {
            if (!connected.contains(member)) {
                return false;
            }
            sent.computeIfAbsent(member, m -> new ArrayList<>()).add(message);
            return true;
        }

        @Override
        public void reconnect(String member) {
            reconnectedPeers.add(member);
        }

        @Override
        public boolean isConnected(String member) {
            return connected.contains(member);
        }

        @Override
        public Collection<String> getConnectedPeers() {
            return List.copyOf(connected);
        }

        private List<PieceOrder> ordersTo(Member member) {
            return sent.getOrDefault(member.name(), List.of()).stream()
                    .filter(PeerMessage.SubmitPieces.class::isInstance)
                    .flatMap(message -> ((PeerMessage.SubmitPieces) message).orders().stream())
                    .toList();
        }

        private <T> List<T> messagesTo(Member member, Class<T> kind) {
            return sent.getOrDefault(member.name(), List.of()).stream()
                    .filter(kind::isInstance)
                    .map(kind::cast)
                    .toList();
        }
    }

    TestStagePools() {
        MemberTable table = new MemberTable(self);
        table.replace(List.of(owner, zoneOwner));
        pools = new StagePools(table, peers, fixture.context);
        pools.setServices(
                List.of(new ServiceSpec(PoolFixture.SERVICE, new PieceService(1, 2, 4, 200, 20, 100, 4_000))));
        pools.start();
        assertThat(table.rankOwners(PoolFixture.SERVICE), contains(owner, zoneOwner, self));
    }

    private void submit(int pieces) {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            orders.add(PoolFixture.order("r", i, fixture.terms(5_000, LONG_DEADLINE_MILLIS)));
        }
        pools.submit(PoolFixture.SERVICE, orders, results::add);
    }

    private void sendHeartbeat(Member from, boolean leaving) {
        pools.onMessage(from.name(), new PeerMessage.Heartbeat(Map.of(PoolFixture.POOL, StageBacklog.EMPTY), leaving));
    }

    private void sendResults(Member from, PieceResult... ended) {
        pools.onMessage(from.name(), new PeerMessage.PiecesEnded(PoolFixture.POOL, List.of(ended)));
    }

    private static PieceId id(int piece) {
        return new PieceId("r", 0, piece);
    }

    // -----------------------------------------------------------------------

    @Test
    void sendsPiecesToOwnerAndDeliversItsResults() {
        submit(2);
        assertThat(peers.ordersTo(owner), hasSize(2));
        sendResults(owner, PieceResult.done(id(0), "h0"), PieceResult.notProduced(id(1), PieceResult.Status.LATE));
        assertThat(
                results,
                contains(PieceResult.done(id(0), "h0"), PieceResult.notProduced(id(1), PieceResult.Status.LATE)));
    }

    @Test
    void resubmitsPiecesToZoneOwnerWhenOwnerIsSilent() {
        submit(2);
        fixture.advance(1_000);
        assertThat(peers.ordersTo(zoneOwner), hasSize(2));
        assertThat(peers.reconnectedPeers, is(not(empty())));
    }

    @Test
    void keepsPiecesAtOwnerThatSendsHeartbeats() {
        submit(2);
        for (int i = 0; i < 20; i++) {
            fixture.advance(200);
            sendHeartbeat(owner, false);
        }
        assertThat(peers.ordersTo(zoneOwner), is(empty()));
    }

    @Test
    void usesOwnPoolWhenNoPeerIsConnected() {
        peers.connected.clear();
        submit(2);
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.calls.last().answerProduced();
        assertThat(results, hasSize(2));
    }

    @Test
    void resubmitsWithdrawnPiecesToNextOwner() {
        submit(1);
        sendResults(owner, PieceResult.notProduced(id(0), PieceResult.Status.WITHDRAWN));
        assertThat(peers.ordersTo(zoneOwner), hasSize(1));
        sendResults(zoneOwner, PieceResult.notProduced(id(0), PieceResult.Status.WITHDRAWN));
        assertThat(fixture.calls.sent, hasSize(1));
    }

    @Test
    void sendsNoPiecesToLeavingOwner() {
        sendHeartbeat(owner, true);
        submit(1);
        assertThat(peers.ordersTo(owner), is(empty()));
        assertThat(peers.ordersTo(zoneOwner), hasSize(1));
    }

    @Test
    void deliversFirstResultAndReleasesDuplicate() {
        submit(1);
        fixture.advance(1_000);
        sendResults(zoneOwner, PieceResult.done(id(0), "second"));
        sendResults(owner, PieceResult.done(id(0), "first"));
        assertThat(results, contains(PieceResult.done(id(0), "second")));
        assertThat(
                peers.messagesTo(owner, PeerMessage.ReleaseResults.class),
                contains(new PeerMessage.ReleaseResults(PoolFixture.POOL, List.of("first"))));
    }

    @Test
    void cancelsPiecesAtOwnerAndReleasesLateResult() {
        submit(1);
        pools.cancel(PoolFixture.SERVICE, "r");
        assertThat(peers.messagesTo(owner, PeerMessage.CancelPieces.class), hasSize(1));
        sendResults(owner, PieceResult.done(id(0), "h"));
        assertThat(results, is(empty()));
        assertThat(peers.messagesTo(owner, PeerMessage.ReleaseResults.class), hasSize(1));
    }

    @Test
    void runsPiecesOfConnectedInstanceThatIsNotListed() {
        peers.connected.add("unlisted");
        PieceOrder order = PoolFixture.order("x", 0, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        pools.onMessage("unlisted", new PeerMessage.SubmitPieces(PoolFixture.POOL, List.of(order)));
        assertThat(fixture.calls.sent, hasSize(1));
        fixture.calls.last().answerProduced();
        List<PeerMessage> received = peers.sent.getOrDefault("unlisted", List.of());
        assertThat(
                received.stream()
                        .filter(PeerMessage.PiecesEnded.class::isInstance)
                        .flatMap(message -> ((PeerMessage.PiecesEnded) message).results().stream())
                        .map(PieceResult::status)
                        .toList(),
                contains(PieceResult.Status.DONE));
    }

    @Test
    void withdrawsReceivedPiecesWhileLeaving() {
        pools.leave();
        PieceOrder order = PoolFixture.order("x", 0, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolFixture.POOL, List.of(order)));
        assertThat(peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(1));
        assertThat(fixture.calls.sent, is(empty()));
    }

    @Test
    void withdrawsQueuedPiecesAndCompletesRunningCallsOnLeave() {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            orders.add(PoolFixture.order("x", i, fixture.terms(5_000, LONG_DEADLINE_MILLIS)));
        }
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolFixture.POOL, orders));
        assertThat(fixture.calls.sent, hasSize(2));
        pools.leave();
        List<PeerMessage.PiecesEnded> ended = peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class);
        assertThat(
                ended,
                contains(new PeerMessage.PiecesEnded(
                        PoolFixture.POOL,
                        List.of(PieceResult.notProduced(orders.get(8).id(), PieceResult.Status.WITHDRAWN)))));
        List.copyOf(fixture.calls.sent).forEach(FakePieceCalls.SentCall::answerProduced);
        assertThat(
                peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class).stream()
                        .flatMap(message -> message.results().stream())
                        .toList(),
                hasSize(9));
    }

    @Test
    void resultsOfOneCallDoNotEachCostAMessage() {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
            orders.add(PoolFixture.order("x", i, fixture.terms(5_000, LONG_DEADLINE_MILLIS)));
        }
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolFixture.POOL, orders));
        fixture.calls.last().answerProduced();
        List<PeerMessage.PiecesEnded> ended = peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class);
        assertThat(ended, hasSize(1));
        assertThat(ended.get(0).results(), hasSize(4));
    }

    @Test
    void reportsResultsToSubmittingInstance() {
        PieceOrder order = PoolFixture.order("x", 0, fixture.terms(1_000, LONG_DEADLINE_MILLIS));
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolFixture.POOL, List.of(order)));
        fixture.calls.last().answerProduced();
        assertThat(peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(1));
    }
}
