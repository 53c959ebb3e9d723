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

/** One instance in zone b; the owner of the service is in zone a. */
class TestStagePools {
    private static final long LONG = 60_000;

    private final PoolWorld world = new PoolWorld(4, 100, "a", "b");
    private final RecordingPeers peers = new RecordingPeers();
    private final List<PieceResult> results = new ArrayList<>();
    // Capacities so far apart settle the ranking.
    private final Member owner = new Member("owner", 1, "a", "10.0.0.1", 7_000, 1e5);
    private final Member zoneOwner = new Member("zone-owner", 1, "b", "10.0.0.2", 7_000, 1);
    private final Member self = new Member("self", 1, "b", "10.0.0.3", 7_000, 1e-5);
    private final StagePools pools;

    /** Keeps messages, and is connected to whom the test says. */
    private static final class RecordingPeers implements PeerPort {
        private final Map<String, List<PeerMessage>> sent = new LinkedHashMap<>();
        private final Set<String> up = new LinkedHashSet<>();
        private final List<String> resets = new ArrayList<>();

        @Override
        public void connect(Collection<Member> peers) {
            peers.forEach(member -> up.add(member.name()));
        }

        @Override
        public boolean send(String member, PeerMessage message) {
            if (!up.contains(member)) {
                return false;
            }
            sent.computeIfAbsent(member, m -> new ArrayList<>()).add(message);
            return true;
        }

        @Override
        public void reset(String member) {
            resets.add(member);
        }

        @Override
        public boolean isConnected(String member) {
            return up.contains(member);
        }

        @Override
        public Collection<String> connected() {
            return List.copyOf(up);
        }

        private List<PieceOrder> ordersTo(Member member) {
            return sent.getOrDefault(member.name(), List.of()).stream()
                    .filter(PeerMessage.SubmitPieces.class::isInstance)
                    .flatMap(message -> ((PeerMessage.SubmitPieces) message).orders().stream())
                    .toList();
        }

        private <T> List<T> to(Member member, Class<T> kind) {
            return sent.getOrDefault(member.name(), List.of()).stream()
                    .filter(kind::isInstance)
                    .map(kind::cast)
                    .toList();
        }
    }

    TestStagePools() {
        MemberTable table = new MemberTable(self);
        table.replace(List.of(owner, zoneOwner));
        pools = new StagePools(table, peers, world.context);
        pools.setServices(List.of(new ServiceSpec(PoolWorld.SERVICE, new PieceService(1, 2, 4, 200, 20, 100, 4_000))));
        pools.start();
        assertThat(table.rankOwners(PoolWorld.SERVICE), contains(owner, zoneOwner, self));
    }

    private void submit(int pieces) {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            orders.add(PoolWorld.order("r", i, world.terms(5_000, LONG)));
        }
        pools.submit(PoolWorld.SERVICE, orders, results::add);
    }

    private void heartbeat(Member from, boolean leaving) {
        pools.onMessage(from.name(), new PeerMessage.Heartbeat(Map.of(PoolWorld.SERVICE, StageBacklog.EMPTY), leaving));
    }

    private void end(Member from, PieceResult... ended) {
        pools.onMessage(from.name(), new PeerMessage.PiecesEnded(PoolWorld.SERVICE, List.of(ended)));
    }

    private static PieceId id(int piece) {
        return new PieceId("r", 0, piece);
    }

    // -----------------------------------------------------------------------

    @Test
    void bringsPiecesToTheOwnerAndItsResultsBack() {
        submit(2);
        assertThat(peers.ordersTo(owner), hasSize(2));
        end(owner, PieceResult.done(id(0), "h0"), PieceResult.unmade(id(1), PieceResult.Status.LATE));
        assertThat(
                results, contains(PieceResult.done(id(0), "h0"), PieceResult.unmade(id(1), PieceResult.Status.LATE)));
    }

    @Test
    void leavesASilentOwnerForTheOneInItsZone() {
        submit(2);
        world.advance(1_000);
        assertThat(peers.ordersTo(zoneOwner), hasSize(2));
        assertThat(peers.resets, is(not(empty())));
    }

    @Test
    void staysWithAnOwnerThatIsHeard() {
        submit(2);
        for (int i = 0; i < 20; i++) {
            world.advance(200);
            heartbeat(owner, false);
        }
        assertThat(peers.ordersTo(zoneOwner), is(empty()));
    }

    @Test
    void makesPiecesItselfIfNoOtherInstanceIsReached() {
        peers.up.clear();
        submit(2);
        assertThat(world.calls.sent, hasSize(1));
        world.calls.last().make();
        assertThat(results, hasSize(2));
    }

    @Test
    void asksElsewhereForPiecesThatAreGivenBack() {
        submit(1);
        end(owner, PieceResult.unmade(id(0), PieceResult.Status.WITHDRAWN));
        assertThat(peers.ordersTo(zoneOwner), hasSize(1));
        end(zoneOwner, PieceResult.unmade(id(0), PieceResult.Status.WITHDRAWN));
        assertThat(world.calls.sent, hasSize(1));
    }

    @Test
    void sendsNothingToAnOwnerThatLeaves() {
        heartbeat(owner, true);
        submit(1);
        assertThat(peers.ordersTo(owner), is(empty()));
        assertThat(peers.ordersTo(zoneOwner), hasSize(1));
    }

    @Test
    void takesTheFirstResultAndReleasesTheSecond() {
        submit(1);
        world.advance(1_000);
        end(zoneOwner, PieceResult.done(id(0), "second"));
        end(owner, PieceResult.done(id(0), "first"));
        assertThat(results, contains(PieceResult.done(id(0), "second")));
        assertThat(
                peers.to(owner, PeerMessage.ReleaseResults.class),
                contains(new PeerMessage.ReleaseResults(PoolWorld.SERVICE, List.of("first"))));
    }

    @Test
    void withdrawsCancelledPiecesAtTheOwner() {
        submit(1);
        pools.cancel(PoolWorld.SERVICE, "r");
        assertThat(peers.to(owner, PeerMessage.CancelPieces.class), hasSize(1));
        end(owner, PieceResult.done(id(0), "h"));
        assertThat(results, is(empty()));
        assertThat(peers.to(owner, PeerMessage.ReleaseResults.class), hasSize(1));
    }

    @Test
    void givesPiecesBackToAnInstanceThatIsNoMember() {
        peers.up.add("stranger");
        PieceOrder order = PoolWorld.order("x", 0, world.terms(1_000, LONG));
        pools.onMessage("stranger", new PeerMessage.SubmitPieces(PoolWorld.SERVICE, List.of(order)));
        assertThat(
                peers.sent.get("stranger"),
                contains(new PeerMessage.PiecesEnded(
                        PoolWorld.SERVICE, List.of(PieceResult.unmade(order.id(), PieceResult.Status.WITHDRAWN)))));
        assertThat(world.calls.sent, is(empty()));
    }

    @Test
    void givesPiecesBackWhileItLeaves() {
        pools.leave();
        PieceOrder order = PoolWorld.order("x", 0, world.terms(1_000, LONG));
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolWorld.SERVICE, List.of(order)));
        assertThat(peers.to(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(1));
        assertThat(world.calls.sent, is(empty()));
    }

    @Test
    void givesBackWhatWaitsAndEndsWhatRunsWhenItLeaves() {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            orders.add(PoolWorld.order("x", i, world.terms(5_000, LONG)));
        }
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolWorld.SERVICE, orders));
        assertThat(world.calls.sent, hasSize(2));
        pools.leave();
        List<PeerMessage.PiecesEnded> ended = peers.to(zoneOwner, PeerMessage.PiecesEnded.class);
        assertThat(
                ended,
                contains(new PeerMessage.PiecesEnded(
                        PoolWorld.SERVICE,
                        List.of(PieceResult.unmade(orders.get(8).id(), PieceResult.Status.WITHDRAWN)))));
        List.copyOf(world.calls.sent).forEach(FakePieceCalls.Sent::make);
        assertThat(peers.to(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(9));
    }

    @Test
    void worksForOthersAndTellsThem() {
        PieceOrder order = PoolWorld.order("x", 0, world.terms(1_000, LONG));
        pools.onMessage(zoneOwner.name(), new PeerMessage.SubmitPieces(PoolWorld.SERVICE, List.of(order)));
        world.calls.last().make();
        assertThat(peers.to(zoneOwner, PeerMessage.PiecesEnded.class), hasSize(1));
    }
}
