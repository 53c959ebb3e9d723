package org.fuchsiawharf.core.pieces;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;

import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.member.MemberTable;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.member.PeerPort;
import org.fuchsiawharf.core.route.PieceService;
import org.fuchsiawharf.core.route.ServiceSpec;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/** Tests an owner whose process was paused while pieces of its own callers and of another instance were queued. */
class TestPausedOwner {
    private static final int BATCH = 4;
    private static final long LONG_MILLIS = 60_000;

    private final PoolFixture fixture = new PoolFixture(BATCH, 100, "a");
    private final List<PieceResult> ownResults = new ArrayList<>();
    private final List<PieceResult> sentResults = new ArrayList<>();
    private final StagePools pools;

    private final class Peers implements PeerPort {
        @Override
        public void setDesiredPeers(Collection<Member> peers) {}

        @Override
        public boolean send(String peer, PeerMessage message) {
            if (message instanceof PeerMessage.PiecesEnded ended) {
                sentResults.addAll(ended.results());
            }
            return true;
        }

        @Override
        public void reconnect(String peer) {}

        @Override
        public boolean isConnected(String peer) {
            return true;
        }

        @Override
        public Collection<String> getConnectedPeers() {
            return List.of("other");
        }
    }

    TestPausedOwner() {
        MemberTable members = new MemberTable(new Member("self", 1, "a", "10.0.0.1", 7_000, 1e5));
        members.replace(List.of(new Member("other", 1, "a", "10.0.0.2", 7_000, 1e-5)));
        pools = new StagePools(members, new Peers(), fixture.context);
        pools.setServices(
                List.of(new ServiceSpec(PoolFixture.SERVICE, new PieceService(1, 2, BATCH, 200, 20, 100, 4_000))));
        pools.start();
    }

    private List<PieceOrder> orders(String request, int pieces) {
        List<PieceOrder> orders = new ArrayList<>();
        for (int i = 0; i < pieces; i++) {
            orders.add(PoolFixture.order(request, i, fixture.terms(LONG_MILLIS, LONG_MILLIS)));
        }
        return orders;
    }

    @Test
    void keepsQueuedPiecesOfOwnCallers() {
        pools.submit(PoolFixture.SERVICE, orders("r", 2 * BATCH), ownResults::add);
        pools.onProcessPaused();
        assertThat(ownResults, is(empty()));
        fixture.calls.last().answerProduced();
        fixture.calls.last().answerProduced();
        assertThat(ownResults, hasSize(2 * BATCH));
        assertThat(ownResults.stream().map(PieceResult::status).toList(), everyItem(is(PieceResult.Status.DONE)));
    }

    @Test
    void withdrawsQueuedPiecesOfOtherInstances() {
        pools.onMessage("other", new PeerMessage.SubmitPieces(PoolFixture.POOL, orders("r", 2 * BATCH)));
        pools.onProcessPaused();
        assertThat(sentResults, hasSize(BATCH));
        assertThat(sentResults.stream().map(PieceResult::status).toList(), everyItem(is(PieceResult.Status.WITHDRAWN)));
    }
}
