package org.fuchsiawharf.peer;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.pieces.PieceId;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.PieceTerms;
import org.fuchsiawharf.core.pieces.PoolKey;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.peer.generated.PeerProto;

/**
 * Encodes submissions and results of pieces as protobuf messages and decodes them.
 *
 * <p>Pieces of one stage of a request are encoded as a group, with what they share only once, if the receiver reads
 * groups, and separately if not. A group keeps the order of its pieces; pieces of different groups may change places.
 * Both forms are decoded.
 *
 * <p>Thread-safe.
 */
final class PieceCodec {
    /** The first message version with groups of pieces. */
    static final int GROUPS_VERSION = 1;

    private static final long NANOS_PER_MICRO = 1_000;

    private final Clock clock;

    PieceCodec(Clock clock) {
        this.clock = clock;
    }

    PeerProto.SubmitPieces encode(PeerMessage.SubmitPieces submit, int receiverVersion) {
        PeerProto.SubmitPieces.Builder builder = PeerProto.SubmitPieces.newBuilder()
                .setService(submit.pool().service())
                .setZone(submit.pool().zone());
        if (receiverVersion < GROUPS_VERSION) {
            submit.orders().forEach(order -> builder.addOrders(encodeOrder(order)));
            return builder.build();
        }
        Map<PieceOrder, List<PieceOrder>> groups = submit.orders().stream()
                .collect(Collectors.groupingBy(
                        order -> withPiece(order, 0), LinkedHashMap::new, Collectors.toUnmodifiableList()));
        groups.values().forEach(group -> builder.addGroups(encodeOrders(group)));
        return builder.build();
    }

    PeerMessage.SubmitPieces decode(PeerProto.SubmitPieces submit) {
        return new PeerMessage.SubmitPieces(
                new PoolKey(submit.getService(), submit.getZone()),
                Stream.concat(
                                submit.getOrdersList().stream().map(this::decodeOrder),
                                submit.getGroupsList().stream().flatMap(this::decodeOrders))
                        .toList());
    }

    PeerProto.PiecesEnded encode(PeerMessage.PiecesEnded ended, int receiverVersion) {
        PeerProto.PiecesEnded.Builder builder = PeerProto.PiecesEnded.newBuilder()
                .setService(ended.pool().service())
                .setZone(ended.pool().zone());
        if (receiverVersion < GROUPS_VERSION) {
            ended.results().forEach(result -> builder.addResults(encodeResult(result)));
            return builder.build();
        }
        Map<PieceId, List<PieceResult>> groups = ended.results().stream()
                .collect(Collectors.groupingBy(
                        result -> withPiece(result.id(), 0), LinkedHashMap::new, Collectors.toUnmodifiableList()));
        groups.forEach((id, group) -> builder.addGroups(encodeResults(id, group)));
        return builder.build();
    }

    PeerMessage.PiecesEnded decode(PeerProto.PiecesEnded ended) {
        return new PeerMessage.PiecesEnded(
                new PoolKey(ended.getService(), ended.getZone()),
                Stream.concat(
                                ended.getResultsList().stream()
                                        .map(result -> decodeResult(
                                                decodeId(result.getId()), result.getStatus(), result.getHandle())),
                                ended.getGroupsList().stream().flatMap(PieceCodec::decodeResults))
                        .toList());
    }

    // -----------------------------------------------------------------------

    private PeerProto.PieceOrderGroup encodeOrders(List<PieceOrder> group) {
        PeerProto.PieceOrderGroup.Builder builder =
                PeerProto.PieceOrderGroup.newBuilder().setFirst(encodeOrder(group.get(0)));
        group.stream()
                .skip(1)
                .forEach(order -> builder.addFurtherPieces(order.id().piece()));
        return builder.build();
    }

    private Stream<PieceOrder> decodeOrders(PeerProto.PieceOrderGroup group) {
        PieceOrder first = decodeOrder(group.getFirst());
        return Stream.concat(
                Stream.of(first), group.getFurtherPiecesList().stream().map(piece -> withPiece(first, piece)));
    }

    private PeerProto.PieceOrder encodeOrder(PieceOrder order) {
        PieceTerms terms = order.terms();
        String key = order.key();
        return PeerProto.PieceOrder.newBuilder()
                .setId(encodeId(order.id()))
                .setHasKey(key != null)
                .setKey(key == null ? "" : key)
                .addAllInputs(order.inputs())
                .setRank(terms.rank())
                .setZone(terms.zone())
                .setResultBytes(terms.resultBytes())
                .setInputBytes(terms.inputBytes())
                .setDueMicros((terms.dueNanos() - clock.nanos()) / NANOS_PER_MICRO)
                .setDeadlineMicros((terms.deadlineNanos() - clock.nanos()) / NANOS_PER_MICRO)
                .build();
    }

    private PieceOrder decodeOrder(PeerProto.PieceOrder order) {
        PieceTerms terms = new PieceTerms(
                order.getRank(),
                order.getZone(),
                order.getResultBytes(),
                order.getInputBytes(),
                clock.nanos() + order.getDueMicros() * NANOS_PER_MICRO,
                clock.nanos() + order.getDeadlineMicros() * NANOS_PER_MICRO);
        return new PieceOrder(
                decodeId(order.getId()), order.getHasKey() ? order.getKey() : null, order.getInputsList(), terms);
    }

    // -----------------------------------------------------------------------

    private static PeerProto.PieceResult encodeResult(PieceResult result) {
        return PeerProto.PieceResult.newBuilder()
                .setId(encodeId(result.id()))
                .setStatus(result.status().ordinal())
                .setHandle(result.handle())
                .build();
    }

    private static PeerProto.PieceResultGroup encodeResults(PieceId id, List<PieceResult> group) {
        PeerProto.PieceResultGroup.Builder builder = PeerProto.PieceResultGroup.newBuilder()
                .setRequestId(id.requestId())
                .setStage(id.stage());
        group.forEach(result -> builder.addPieces(result.id().piece())
                .addStatuses(result.status().ordinal())
                .addHandles(result.handle()));
        return builder.build();
    }

    private static Stream<PieceResult> decodeResults(PeerProto.PieceResultGroup group) {
        int count = Math.min(group.getPiecesCount(), Math.min(group.getStatusesCount(), group.getHandlesCount()));
        return IntStream.range(0, count)
                .mapToObj(i -> decodeResult(
                        new PieceId(group.getRequestId(), group.getStage(), group.getPieces(i)),
                        group.getStatuses(i),
                        group.getHandles(i)));
    }

    // A status that only a later version defines is decoded as FAILED.
    private static PieceResult decodeResult(PieceId id, int ordinal, String handle) {
        PieceResult.Status[] statuses = PieceResult.Status.values();
        PieceResult.Status status =
                ordinal >= 0 && ordinal < statuses.length ? statuses[ordinal] : PieceResult.Status.FAILED;
        if (status == PieceResult.Status.DONE) {
            return handle.isEmpty()
                    ? PieceResult.notProduced(id, PieceResult.Status.FAILED)
                    : PieceResult.done(id, handle);
        }
        return PieceResult.notProduced(id, status);
    }

    // -----------------------------------------------------------------------

    private static PeerProto.PieceId encodeId(PieceId id) {
        return PeerProto.PieceId.newBuilder()
                .setRequestId(id.requestId())
                .setStage(id.stage())
                .setPiece(id.piece())
                .build();
    }

    private static PieceId decodeId(PeerProto.PieceId id) {
        return new PieceId(id.getRequestId(), id.getStage(), id.getPiece());
    }

    private static PieceOrder withPiece(PieceOrder order, int piece) {
        return new PieceOrder(withPiece(order.id(), piece), order.key(), order.inputs(), order.terms());
    }

    private static PieceId withPiece(PieceId id, int piece) {
        return new PieceId(id.requestId(), id.stage(), piece);
    }
}
