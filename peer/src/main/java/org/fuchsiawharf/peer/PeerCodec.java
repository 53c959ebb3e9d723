package org.fuchsiawharf.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.pieces.PieceId;
import org.fuchsiawharf.core.pieces.PieceOrder;
import org.fuchsiawharf.core.pieces.PieceResult;
import org.fuchsiawharf.core.pieces.PieceTerms;
import org.fuchsiawharf.core.pieces.PoolKey;
import org.fuchsiawharf.core.pieces.StageBacklog;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * Encodes messages between instances as protobuf frames and decodes them.
 *
 * <p>Points in time are encoded relative to the moment of encoding, since instances share no clock. Thread-safe.
 */
final class PeerCodec {
    private static final long NANOS_PER_MICRO = 1_000;

    private final Clock clock;

    PeerCodec(Clock clock) {
        this.clock = clock;
    }

    PeerProto.Frame encode(PeerMessage message) {
        PeerProto.Frame.Builder frame = PeerProto.Frame.newBuilder();
        if (message instanceof PeerMessage.SubmitPieces submit) {
            PeerProto.SubmitPieces.Builder builder = PeerProto.SubmitPieces.newBuilder()
                    .setService(submit.pool().service())
                    .setZone(submit.pool().zone());
            submit.orders().forEach(order -> builder.addOrders(encodeOrder(order)));
            frame.setSubmit(builder);
        } else if (message instanceof PeerMessage.PiecesEnded ended) {
            PeerProto.PiecesEnded.Builder builder = PeerProto.PiecesEnded.newBuilder()
                    .setService(ended.pool().service())
                    .setZone(ended.pool().zone());
            ended.results().forEach(result -> builder.addResults(encodeResult(result)));
            frame.setEnded(builder);
        } else if (message instanceof PeerMessage.CancelPieces cancel) {
            frame.setCancel(PeerProto.CancelPieces.newBuilder()
                    .setService(cancel.pool().service())
                    .setZone(cancel.pool().zone())
                    .setRequestId(cancel.requestId()));
        } else if (message instanceof PeerMessage.ReleaseResults release) {
            frame.setRelease(PeerProto.ReleaseResults.newBuilder()
                    .setService(release.pool().service())
                    .setZone(release.pool().zone())
                    .addAllHandles(release.handles()));
        } else if (message instanceof PeerMessage.Heartbeat heartbeat) {
            frame.setHeartbeat(encodeHeartbeat(heartbeat));
        } else if (message instanceof PeerMessage.PassEntries pass) {
            PeerProto.PassEntries.Builder builder =
                    PeerProto.PassEntries.newBuilder().setRevision(pass.revision());
            pass.entries()
                    .forEach((key, value) -> builder.addEntries(
                            PeerProto.Entry.newBuilder().setKey(key).setValue(ByteString.copyFrom(value))));
            frame.setEntries(builder);
        } else if (message instanceof PeerMessage.AskState ask) {
            frame.setAskState(PeerProto.AskState.newBuilder().setRevision(ask.revision()));
        }
        return frame.build();
    }

    /** Decodes the message of a frame; null if the frame is a {@code Hello} or of an unknown kind. */
    @Nullable
    PeerMessage decode(PeerProto.Frame frame) {
        return switch (frame.getKindCase()) {
            case SUBMIT ->
                new PeerMessage.SubmitPieces(
                        new PoolKey(
                                frame.getSubmit().getService(),
                                frame.getSubmit().getZone()),
                        frame.getSubmit().getOrdersList().stream()
                                .map(this::decodeOrder)
                                .toList());
            case ENDED ->
                new PeerMessage.PiecesEnded(
                        new PoolKey(
                                frame.getEnded().getService(), frame.getEnded().getZone()),
                        frame.getEnded().getResultsList().stream()
                                .map(PeerCodec::decodeResult)
                                .toList());
            case CANCEL ->
                new PeerMessage.CancelPieces(
                        new PoolKey(
                                frame.getCancel().getService(),
                                frame.getCancel().getZone()),
                        frame.getCancel().getRequestId());
            case RELEASE ->
                new PeerMessage.ReleaseResults(
                        new PoolKey(
                                frame.getRelease().getService(),
                                frame.getRelease().getZone()),
                        frame.getRelease().getHandlesList());
            case HEARTBEAT -> decodeHeartbeat(frame.getHeartbeat());
            case ENTRIES -> decodeEntries(frame.getEntries());
            case ASK_STATE -> new PeerMessage.AskState(frame.getAskState().getRevision());
            case HELLO, KIND_NOT_SET -> null;
        };
    }

    // -----------------------------------------------------------------------

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

    private static PeerProto.PieceResult encodeResult(PieceResult result) {
        return PeerProto.PieceResult.newBuilder()
                .setId(encodeId(result.id()))
                .setStatus(result.status().ordinal())
                .setHandle(result.handle())
                .build();
    }

    // A status that only a later version defines is decoded as FAILED.
    private static PieceResult decodeResult(PeerProto.PieceResult result) {
        PieceResult.Status[] statuses = PieceResult.Status.values();
        int ordinal = result.getStatus();
        PieceResult.Status status =
                ordinal >= 0 && ordinal < statuses.length ? statuses[ordinal] : PieceResult.Status.FAILED;
        boolean done = status == PieceResult.Status.DONE && !result.getHandle().isEmpty();
        PieceId id = decodeId(result.getId());
        if (done) {
            return PieceResult.done(id, result.getHandle());
        }
        return PieceResult.notProduced(id, status == PieceResult.Status.DONE ? PieceResult.Status.FAILED : status);
    }

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

    private static PeerProto.Heartbeat.Builder encodeHeartbeat(PeerMessage.Heartbeat heartbeat) {
        PeerProto.Heartbeat.Builder builder = PeerProto.Heartbeat.newBuilder().setLeaving(heartbeat.leaving());
        heartbeat
                .backlogs()
                .forEach((pool, backlog) -> builder.addBacklogs(PeerProto.Backlog.newBuilder()
                        .setService(pool.service())
                        .setZone(pool.zone())
                        .addAllQueuedByRank(backlog.queuedByRank())
                        .setEndpoints(backlog.endpoints())
                        .setIdle(backlog.idle())));
        return builder;
    }

    private static PeerMessage decodeHeartbeat(PeerProto.Heartbeat heartbeat) {
        Map<PoolKey, StageBacklog> backlogs = new HashMap<>();
        for (PeerProto.Backlog backlog : heartbeat.getBacklogsList()) {
            List<Integer> queued = backlog.getQueuedByRankList();
            if (queued.size() == StageBacklog.RANKS) {
                backlogs.put(
                        new PoolKey(backlog.getService(), backlog.getZone()),
                        new StageBacklog(queued, backlog.getEndpoints(), backlog.getIdle()));
            }
        }
        return new PeerMessage.Heartbeat(backlogs, heartbeat.getLeaving());
    }

    private static PeerMessage decodeEntries(PeerProto.PassEntries pass) {
        Map<String, byte[]> entries = new HashMap<>();
        pass.getEntriesList()
                .forEach(entry -> entries.put(entry.getKey(), entry.getValue().toByteArray()));
        return new PeerMessage.PassEntries(pass.getRevision(), entries);
    }
}
