package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.IntStream;

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
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Tests an instance whose connections to other instances are open but take no more bytes for a while. */
class TestFullConnection {
    private static final int FLEET = 76;
    private static final int BATCH = 2;
    private static final long TTL_MILLIS = 4_000;
    private static final long TICK_MILLIS = 100;
    private static final long SILENCE_BOUND_MILLIS = 550;

    private final PoolFixture fixture = new PoolFixture(BATCH, 100, "a", "b");
    private final Peers peers = new Peers();
    private final List<PieceResult> results = new ArrayList<>();
    // The capacities differ by a factor of 100,000 each, which determines the ranking.
    private final Member owner = new Member("owner", 1, "a", "10.0.0.1", 7_000, 1e5);
    private final Member zoneOwner = new Member("zone-owner", 1, "b", "10.0.0.2", 7_000, 1);
    private final Member self = new Member("self", 1, "b", "10.0.0.3", 7_000, 1e-5);
    private final StagePools pools;

    /** A fake that records messages; its full connections refuse the kinds of messages that a test selects. */
    private static final class Peers implements PeerPort {
        private final Map<String, List<PeerMessage>> sent = new HashMap<>();
        private final Set<String> connected = new HashSet<>();
        private final Map<String, Class<? extends PeerMessage>> refusedKinds = new HashMap<>();

        @Override
        public void setDesiredPeers(Collection<Member> peers) {
            peers.forEach(member -> connected.add(member.name()));
        }

        @Override
        public boolean send(String peer, PeerMessage message) {
            Class<? extends PeerMessage> refused = refusedKinds.get(peer);
            if (!connected.contains(peer) || (refused != null && refused.isInstance(message))) {
                return false;
            }
            sent.computeIfAbsent(peer, p -> new ArrayList<>()).add(message);
            return true;
        }

        @Override
        public void reconnect(String peer) {}

        @Override
        public boolean isConnected(String peer) {
            return connected.contains(peer);
        }

        @Override
        public Collection<String> getConnectedPeers() {
            return List.copyOf(connected);
        }

        private <T> List<T> messagesTo(Member member, Class<T> kind) {
            return sent.getOrDefault(member.name(), List.of()).stream()
                    .filter(kind::isInstance)
                    .map(kind::cast)
                    .toList();
        }

        private List<Integer> piecesSubmittedTo(Member member) {
            return messagesTo(member, PeerMessage.SubmitPieces.class).stream()
                    .flatMap(submit -> submit.orders().stream())
                    .map(order -> order.id().piece())
                    .toList();
        }

        private List<PieceResult> resultsTo(Member member) {
            return messagesTo(member, PeerMessage.PiecesEnded.class).stream()
                    .flatMap(ended -> ended.results().stream())
                    .toList();
        }

        private void refuse(Member member, Class<? extends PeerMessage> kind) {
            refusedKinds.put(member.name(), kind);
        }

        private void accept(Member member) {
            refusedKinds.remove(member.name());
        }
    }

    TestFullConnection() {
        MemberTable members = new MemberTable(self);
        members.replace(List.of(owner, zoneOwner));
        pools = new StagePools(members, peers, fixture.context);
        pools.setServices(
                List.of(new ServiceSpec(PoolFixture.SERVICE, new PieceService(1, 2, BATCH, 200, 20, 100, TTL_MILLIS))));
        pools.start();
    }

    private List<PieceOrder> orders(int first, int last) {
        return IntStream.rangeClosed(first, last)
                .mapToObj(piece -> PoolFixture.order("r", piece, fixture.terms(5_000, 60_000)))
                .toList();
    }

    /** Receives pieces from the zone owner, which fill one call for each two pieces. */
    private void receive(int first, int last) {
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolFixture.POOL, orders(first, last)));
    }

    private void submit(int first, int last) {
        pools.submit(PoolFixture.SERVICE, orders(first, last), results::add);
    }

    private void sendHeartbeat(Member from) {
        pools.onMessage(from.name(), new PeerMessage.Heartbeat(Map.of(PoolFixture.POOL, StageBacklog.EMPTY), false));
    }

    // -----------------------------------------------------------------------

    @Test
    void resultRefusedByFullConnectionIsNotLost() {
        receive(0, 1);
        peers.refuse(zoneOwner, PeerMessage.class);
        fixture.calls.last().answerProduced();
        peers.accept(zoneOwner);
        fixture.advance(TICK_MILLIS);
        assertThat(
                peers.resultsTo(zoneOwner).stream().map(PieceResult::status).toList(),
                contains(PieceResult.Status.DONE, PieceResult.Status.DONE));
        fixture.advance(TTL_MILLIS);
        assertThat(peers.resultsTo(zoneOwner), hasSize(2));
        assertThat(fixture.calls.releasedHandles, is(empty()));
    }

    @Test
    void refusedResultsOfSeveralCallsDoNotEachCostAMessage() {
        receive(0, 3);
        assertThat(fixture.calls.sent, hasSize(2));
        peers.refuse(zoneOwner, PeerMessage.class);
        fixture.calls.sent.get(0).answerProduced();
        fixture.calls.sent.get(1).answerProduced();
        fixture.advance(3 * TICK_MILLIS);
        peers.accept(zoneOwner);
        fixture.advance(TICK_MILLIS);
        assertThat(peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(1));
        assertThat(
                peers.resultsTo(zoneOwner).stream()
                        .map(result -> result.id().piece())
                        .toList(),
                contains(0, 1, 2, 3));
    }

    @Test
    void manyRefusedResultsDoNotExceedOneFrame() {
        int pieces = ResultOutbox.MAX_RESULTS * 3 / 2;
        pools.leave();
        peers.refuse(zoneOwner, PeerMessage.class);
        receive(0, pieces - 1);
        peers.accept(zoneOwner);
        fixture.advance(TICK_MILLIS);
        assertThat(peers.messagesTo(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(2));
        assertThat(
                peers.resultsTo(zoneOwner).stream()
                        .map(result -> result.id().piece())
                        .toList(),
                is(IntStream.range(0, pieces).boxed().toList()));
    }

    @Test
    void laterResultDoesNotOvertakeRefusedOne() {
        receive(0, 3);
        peers.refuse(zoneOwner, PeerMessage.class);
        fixture.calls.sent.get(0).answerProduced();
        peers.accept(zoneOwner);
        fixture.calls.sent.get(1).answerProduced();
        assertThat(
                peers.resultsTo(zoneOwner).stream()
                        .map(result -> result.id().piece())
                        .toList(),
                contains(0, 1, 2, 3));
    }

    @Test
    void submitterOfRefusedResultIsNotLeftWithoutHeartbeats() {
        IntStream.range(0, FLEET).forEach(i -> peers.connected.add("m" + i));
        receive(0, 1);
        peers.refuse(zoneOwner, PeerMessage.PiecesEnded.class);
        fixture.calls.last().answerProduced();
        for (int i = 0; i < 5; i++) {
            peers.sent.clear();
            fixture.advance(SILENCE_BOUND_MILLIS);
            assertThat(peers.messagesTo(zoneOwner, PeerMessage.Heartbeat.class).size(), is(greaterThan(0)));
        }
    }

    @Test
    void resultForDisconnectedSubmitterIsNotHeldAtItsProducer() {
        receive(0, 1);
        peers.connected.remove(zoneOwner.name());
        fixture.calls.last().answerProduced();
        fixture.advance(TICK_MILLIS);
        assertThat(fixture.calls.releasedHandles, hasSize(2));
        peers.connected.add(zoneOwner.name());
        fixture.advance(TICK_MILLIS);
        assertThat(peers.resultsTo(zoneOwner), is(empty()));
    }

    @Test
    void refusedResultIsNotHeldAtItsProducerAfterSubmitterDisconnects() {
        receive(0, 1);
        peers.refuse(zoneOwner, PeerMessage.class);
        fixture.calls.last().answerProduced();
        fixture.advance(TICK_MILLIS);
        assertThat(fixture.calls.releasedHandles, is(empty()));
        peers.connected.remove(zoneOwner.name());
        fixture.advance(2 * TICK_MILLIS);
        assertThat(fixture.calls.releasedHandles, hasSize(2));
    }

    @Test
    void submitterDoesNotWaitForExpiredResult() {
        receive(0, 1);
        peers.refuse(zoneOwner, PeerMessage.class);
        fixture.calls.last().answerProduced();
        fixture.advance(TTL_MILLIS + TICK_MILLIS);
        assertThat(fixture.calls.releasedHandles, hasSize(2));
        peers.accept(zoneOwner);
        fixture.advance(TICK_MILLIS);
        assertThat(
                peers.resultsTo(zoneOwner).stream().map(PieceResult::status).toList(),
                contains(PieceResult.Status.WITHDRAWN, PieceResult.Status.WITHDRAWN));
    }

    // -----------------------------------------------------------------------

    @Test
    void fullConnectionDoesNotCauseSuspicionOfOwner() {
        submit(0, 1);
        peers.refuse(owner, PeerMessage.class);
        submit(2, 2);
        assertThat(peers.piecesSubmittedTo(owner), contains(0, 1));
        assertThat(peers.piecesSubmittedTo(zoneOwner), contains(2));
        peers.accept(owner);
        submit(3, 3);
        assertThat(peers.piecesSubmittedTo(owner), contains(0, 1, 3));
        assertThat(peers.piecesSubmittedTo(zoneOwner), contains(2));
    }

    @Test
    void pieceDoesNotFailWhileAllConnectionsAreFull() {
        pools.leave();
        peers.refuse(owner, PeerMessage.class);
        peers.refuse(zoneOwner, PeerMessage.class);
        submit(0, 1);
        fixture.advance(3 * TICK_MILLIS);
        sendHeartbeat(owner);
        assertThat(results, is(empty()));
        peers.accept(owner);
        peers.accept(zoneOwner);
        fixture.advance(3 * TICK_MILLIS);
        assertThat(peers.piecesSubmittedTo(owner), contains(0, 1));
        assertThat(peers.piecesSubmittedTo(zoneOwner), is(empty()));
        assertThat(results, is(empty()));
    }

    @Test
    void heldPieceIsNotLostWhenOwnersDisconnect() {
        pools.leave();
        peers.refuse(owner, PeerMessage.class);
        peers.refuse(zoneOwner, PeerMessage.class);
        submit(0, 1);
        peers.connected.remove(zoneOwner.name());
        pools.onDisconnected(zoneOwner.name(), "test");
        fixture.advance(TICK_MILLIS);
        assertThat(fixture.calls.sent, is(empty()));
        peers.connected.remove(owner.name());
        pools.onDisconnected(owner.name(), "test");
        assertThat(results, is(empty()));
        assertThat(fixture.calls.sent, hasSize(1));
        assertThat(fixture.calls.last().getOrders(), hasSize(2));
    }

    @Test
    void cancelledPieceIsNotSentWhenConnectionTakesMessagesAgain() {
        pools.leave();
        peers.refuse(owner, PeerMessage.class);
        peers.refuse(zoneOwner, PeerMessage.class);
        submit(0, 1);
        pools.cancel(PoolFixture.SERVICE, "r");
        peers.accept(owner);
        fixture.advance(TICK_MILLIS);
        assertThat(peers.piecesSubmittedTo(owner), is(empty()));
    }
}
