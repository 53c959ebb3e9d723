package org.fuchsiawharf.core.pieces;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.notNullValue;

class TestOutstandingPieces {
    private final OutstandingPieces pieces = new OutstandingPieces();

    private PieceId add(String service, String request, int stage, String owner) {
        PieceOrder order =
                new PieceOrder(new PieceId(request, stage, 0), "key", List.of(), new PieceTerms(0, "", 0, 0, 0, 0));
        SentPiece piece = new SentPiece(service, order, result -> {});
        piece.destination = new SentPiece.Destination(PoolKey.ofAllZones(service), owner);
        piece.triedDestinations.add(piece.destination);
        pieces.add(piece);
        return order.id();
    }

    @Test
    void removesPiecesOfRequestForOneServiceOnly() {
        add("encode", "r1", 0, "owner-1");
        PieceId otherService = add("rank", "r1", 1, "owner-2");
        PieceId otherRequest = add("encode", "r2", 0, "owner-3");
        assertThat(
                pieces.removeRequest("encode", "r1"),
                contains(new SentPiece.Destination(PoolKey.ofAllZones("encode"), "owner-1")));
        assertThat(pieces.get(otherService), is(notNullValue()));
        assertThat(pieces.get(otherRequest), is(notNullValue()));
        assertThat(pieces.size(), is(2));
    }

    @Test
    void removesNoPieceOfRequestTwice() {
        pieces.remove(add("encode", "r1", 0, "owner-1"));
        assertThat(pieces.removeRequest("encode", "r1"), is(empty()));
    }
}
