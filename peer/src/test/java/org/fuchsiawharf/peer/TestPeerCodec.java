package org.fuchsiawharf.peer;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.pieces.PieceId;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.PieceTerms;
import org.fuchsiawharf.core.pieces.PoolKey;
import org.fuchsiawharf.core.quarantine.CrashEvidence;
import org.fuchsiawharf.core.quarantine.Suspect;
import org.fuchsiawharf.core.store.RequestEcho;
import org.fuchsiawharf.core.store.StorePosition;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

class TestPeerCodec {
    private static final PoolKey POOL = new PoolKey("service", "lim-c");
    private static final String REQUEST_ID = "14da6f38e5b2907c";
    private static final int PIECES = 10;

    /** Bytes that a further piece of the same request and stage may add to a message, besides its handle. */
    private static final int MAX_BYTES_PER_FURTHER_PIECE = 16;

    private final PeerCodec codec = new PeerCodec(() -> 0);

    private static String handle(int number) {
        return "10.3.64.%d:8108/5c1e07a2e4%02x".formatted(20 + number, number);
    }

    private static PeerMessage.SubmitPieces submit(String requestId, int pieces) {
        List<String> inputs =
                IntStream.range(0, 6).mapToObj(TestPeerCodec::handle).toList();
        PieceTerms terms = new PieceTerms(2, "lim-a", 6_000, 360_000, 1_700_000_000L, 20_000_000_000L);
        return new PeerMessage.SubmitPieces(
                POOL,
                IntStream.range(0, pieces)
                        .mapToObj(piece -> new PieceOrder(new PieceId(requestId, 3, piece), null, inputs, terms))
                        .toList());
    }

    private static PeerMessage.PiecesEnded ended(String requestId, int pieces) {
        return new PeerMessage.PiecesEnded(
                POOL,
                IntStream.range(0, pieces)
                        .mapToObj(piece -> PieceResult.done(new PieceId(requestId, 3, piece), handle(piece)))
                        .toList());
    }

    private int size(PeerMessage message) {
        return codec.encode(message, PieceCodec.GROUPS_VERSION).getSerializedSize();
    }

    private int occurrences(String text, PeerMessage message) {
        String encoded =
                new String(codec.encode(message, PieceCodec.GROUPS_VERSION).toByteArray(), StandardCharsets.ISO_8859_1);
        return encoded.split(text, -1).length - 1;
    }

    // An owner received the inputs and the terms of a request once for each of its pieces.
    @Test
    void sharedPartOfPiecesIsSubmittedOnce() {
        PeerMessage.SubmitPieces submit = submit(REQUEST_ID, PIECES);
        assertThat(occurrences(REQUEST_ID, submit), is(1));
        assertThat(occurrences(handle(0), submit), is(1));
        assertThat(
                size(submit) - size(submit(REQUEST_ID, 1)),
                lessThanOrEqualTo((PIECES - 1) * MAX_BYTES_PER_FURTHER_PIECE));
    }

    // The results of one call repeated the id of the request for each piece.
    @Test
    void resultsOfOneRequestNameItOnce() {
        PeerMessage.PiecesEnded ended = ended(REQUEST_ID, PIECES);
        assertThat(occurrences(REQUEST_ID, ended), is(1));
        int handleBytes = handle(0).length();
        assertThat(
                size(ended) - size(ended(REQUEST_ID, 1)),
                lessThanOrEqualTo((PIECES - 1) * (handleBytes + MAX_BYTES_PER_FURTHER_PIECE)));
    }

    @Test
    void decodesPiecesOfSeveralGroups() {
        PieceResult failed = PieceResult.notProduced(new PieceId(REQUEST_ID, 3, 7), PieceResult.Status.INPUT_GONE);
        for (PeerMessage message : List.of(
                new PeerMessage.SubmitPieces(
                        POOL, join(submit("a", 3).orders(), submit("b", 1).orders())),
                new PeerMessage.PiecesEnded(
                        POOL,
                        join(
                                ended("a", 2).results(),
                                List.of(failed),
                                ended("b", 3).results())))) {
            assertThat(codec.decode(codec.encode(message, PieceCodec.GROUPS_VERSION)), is(message));
        }
    }

    // Instances of message version 0 ignored groups of pieces.
    @Test
    void separatePiecesNeedNoGroups() {
        PieceResult failed = PieceResult.notProduced(new PieceId(REQUEST_ID, 3, 7), PieceResult.Status.INPUT_GONE);
        PeerMessage.SubmitPieces submit = submit(REQUEST_ID, PIECES);
        PeerMessage.PiecesEnded ended =
                new PeerMessage.PiecesEnded(POOL, join(ended(REQUEST_ID, 2).results(), List.of(failed)));
        PeerProto.Frame.Builder submitFrame = codec.encode(submit, PeerCodec.UNSTATED_VERSION).toBuilder();
        submitFrame.setSubmit(submitFrame.getSubmit().toBuilder().clearGroups());
        assertThat(codec.decode(submitFrame.build()), is(submit));
        PeerProto.Frame.Builder endedFrame = codec.encode(ended, PeerCodec.UNSTATED_VERSION).toBuilder();
        endedFrame.setEnded(endedFrame.getEnded().toBuilder().clearGroups());
        assertThat(codec.decode(endedFrame.build()), is(ended));
    }

    @Test
    void decodesPiecesListedSeparately() {
        PeerProto.PieceId id = PeerProto.PieceId.newBuilder()
                .setRequestId(REQUEST_ID)
                .setStage(3)
                .setPiece(1)
                .build();
        PeerProto.Frame submit = PeerProto.Frame.newBuilder()
                .setSubmit(PeerProto.SubmitPieces.newBuilder()
                        .addOrders(PeerProto.PieceOrder.newBuilder().setId(id)))
                .build();
        PeerProto.Frame ended = PeerProto.Frame.newBuilder()
                .setEnded(PeerProto.PiecesEnded.newBuilder()
                        .addResults(PeerProto.PieceResult.newBuilder().setId(id).setHandle("h")))
                .build();
        PieceId expected = new PieceId(REQUEST_ID, 3, 1);
        PeerMessage.SubmitPieces decodedSubmit =
                (PeerMessage.SubmitPieces) Objects.requireNonNull(codec.decode(submit));
        assertThat(decodedSubmit.orders().stream().map(PieceOrder::id).toList(), is(List.of(expected)));
        PeerMessage.PiecesEnded decodedEnded = (PeerMessage.PiecesEnded) Objects.requireNonNull(codec.decode(ended));
        assertThat(decodedEnded.results(), is(List.of(PieceResult.done(expected, "h"))));
    }

    @SafeVarargs
    private static <T> List<T> join(List<T>... lists) {
        return Stream.of(lists).flatMap(List::stream).toList();
    }

    @Test
    void evidenceOfCrashesIsReadAsWritten() {
        PeerMessage message = new PeerMessage.ShareEvidence(new CrashEvidence(
                Set.of("e1", "e2"),
                List.of(
                        new CrashEvidence.Loss(Suspect.ofPart("part"), "e1", -7, 300),
                        new CrashEvidence.Loss(Suspect.ofPart("part"), "e2", 9, 0),
                        new CrashEvidence.Loss(Suspect.ofRequest("request"), "e2", 0, 5)),
                Set.of(Suspect.ofPart("sound"), Suspect.ofRequest("sound")),
                List.of(
                        new CrashEvidence.Trial(Suspect.ofPart("part"), 1, 20),
                        new CrashEvidence.Trial(Suspect.ofRequest("request"), 2, 0))));
        assertThat(codec.decode(codec.encode(message, PieceCodec.GROUPS_VERSION)), is(message));
    }

    @Test
    void positionsOfTheStoreAreReadAsWritten() {
        StorePosition position = new StorePosition(2, 3);
        for (PeerMessage message : List.of(
                new PeerMessage.AskState(position, true, null), new PeerMessage.PassEntries(position, Map.of()))) {
            assertThat(codec.decode(codec.encode(message, PieceCodec.GROUPS_VERSION)), is(message));
        }
    }

    @Test
    void catchUpReplyIsReadAsWritten() {
        for (boolean catchUp : new boolean[] {true, false}) {
            PeerMessage message =
                    new PeerMessage.StoreChanges(new StorePosition(2, 3), 4, List.of(), true, catchUp, null, !catchUp);
            assertThat(codec.decode(codec.encode(message, PieceCodec.GROUPS_VERSION)), is(message));
        }
    }

    @Test
    void timesOfRequestsAreReturnedAsStated() {
        StorePosition position = new StorePosition(2, 3);
        for (PeerMessage message : List.of(
                new PeerMessage.AskState(position, true, -5L),
                new PeerMessage.AskState(position, true, 0L),
                new PeerMessage.StoreChanges(position, 4, List.of(), false, false, new RequestEcho(-5, -7), false),
                new PeerMessage.StoreChanges(position, 4, List.of(), false, false, new RequestEcho(0, 0), false))) {
            assertThat(codec.decode(codec.encode(message, PieceCodec.GROUPS_VERSION)), is(message));
        }
    }
}
