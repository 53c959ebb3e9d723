package org.fuchsiawharf.core.pieces;

import java.util.Collection;
import java.util.List;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

class TestPeerHeartbeats {
    private static final List<String> CONNECTED =
            IntStream.range(0, 40).mapToObj(i -> "m" + i).toList();
    /** Ticks between heartbeats of a non-owner with 40 connections: three times the usual ten. */
    private static final int NON_OWNER_TICKS = 30;

    private final PeerHeartbeats heartbeats = new PeerHeartbeats();
    private int visits;

    private Collection<String> visit() {
        visits++;
        return CONNECTED;
    }

    // An instance that served nothing examined all its connections in each tick.
    @Test
    void connectionsAreNotExaminedWhileNoHeartbeatCanBeDue() {
        for (int tick = 1; tick < NON_OWNER_TICKS; tick++) {
            assertThat(heartbeats.selectDue(this::visit, false), is(List.of()));
        }
        assertThat(heartbeats.selectDue(this::visit, false), is(CONNECTED));
        assertThat(visits, is(3));
    }

    @Test
    void instanceThatWaitsForPiecesIsDueEverySecondTick() {
        heartbeats.onSubmitted("m7", List.of(PoolFixture.order("r", 0, new PieceTerms(0, "a", 1, 1, 1, 1))));
        for (int tick = 1; tick < NON_OWNER_TICKS; tick++) {
            assertThat(heartbeats.selectDue(this::visit, false), is(tick % 2 == 0 ? List.of("m7") : List.of()));
        }
        assertThat(heartbeats.selectDue(this::visit, false), is(CONNECTED));
    }

    @Test
    void ownerReportsToAllMoreOften() {
        for (int tick = 1; tick <= NON_OWNER_TICKS; tick++) {
            assertThat(heartbeats.selectDue(this::visit, true), is(tick % 6 == 0 ? CONNECTED : List.of()));
        }
    }
}
