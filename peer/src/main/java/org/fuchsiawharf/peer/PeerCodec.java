package org.fuchsiawharf.peer;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

import com.google.protobuf.ByteString;
import org.fuchsiawharf.core.member.PeerMessage;
import org.fuchsiawharf.core.pieces.PoolKey;
import org.fuchsiawharf.core.pieces.StageBacklog;
import org.fuchsiawharf.core.store.RequestEcho;
import org.fuchsiawharf.core.store.StoreItem;
import org.fuchsiawharf.core.store.StorePosition;
import org.fuchsiawharf.core.time.Clock;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * Encodes messages between instances as protobuf frames and decodes them.
 *
 * <p>Points in time are encoded relative to the moment of encoding, since instances share no clock. Thread-safe.
 */
final class PeerCodec {
    /** The message version that this codec reads; peer.proto lists the versions. */
    static final int MESSAGE_VERSION = PieceCodec.GROUPS_VERSION;

    /** The message version of a peer that has stated none. */
    static final int UNSTATED_VERSION = 0;

    private final PieceCodec pieceCodec;

    PeerCodec(Clock clock) {
        pieceCodec = new PieceCodec(clock);
    }

    /** Encodes a message for a receiver that reads the given message version. */
    PeerProto.Frame encode(PeerMessage message, int receiverVersion) {
        PeerProto.Frame.Builder frame = PeerProto.Frame.newBuilder();
        if (message instanceof PeerMessage.SubmitPieces submit) {
            frame.setSubmit(pieceCodec.encode(submit, receiverVersion));
        } else if (message instanceof PeerMessage.PiecesEnded ended) {
            frame.setEnded(pieceCodec.encode(ended, receiverVersion));
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
            PeerProto.PassEntries.Builder builder = PeerProto.PassEntries.newBuilder()
                    .setRevision(pass.asOf().revision())
                    .setEra(pass.asOf().era());
            pass.entries()
                    .forEach((key, value) -> builder.addEntries(
                            PeerProto.Entry.newBuilder().setKey(key).setValue(ByteString.copyFrom(value))));
            frame.setEntries(builder);
        } else if (message instanceof PeerMessage.AskState ask) {
            frame.setAskState(encodeRequest(ask));
        } else if (message instanceof PeerMessage.StoreChanges changes) {
            frame.setChanges(encodeChanges(changes));
        } else if (message instanceof PeerMessage.ShareEvidence evidence) {
            frame.setEvidence(EvidenceCodec.encode(evidence.evidence()));
        }
        return frame.build();
    }

    /** Decodes the message of a frame; null if the frame is a {@code Hello}, belongs to a tunnel or is of an unknown kind. */
    @Nullable
    PeerMessage decode(PeerProto.Frame frame) {
        return switch (frame.getKindCase()) {
            case SUBMIT -> pieceCodec.decode(frame.getSubmit());
            case ENDED -> pieceCodec.decode(frame.getEnded());
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
            case ASK_STATE -> decodeRequest(frame.getAskState());
            case CHANGES -> decodeChanges(frame.getChanges());
            case EVIDENCE -> EvidenceCodec.decode(frame.getEvidence());
            case HELLO,
                    OPEN_TUNNEL,
                    TUNNEL_OPENED,
                    TUNNEL_REFUSED,
                    TUNNEL_DATA,
                    TUNNEL_END,
                    ENDPOINT_NOTICE,
                    KIND_NOT_SET -> null;
        };
    }

    // -----------------------------------------------------------------------

    private static PeerProto.Heartbeat.Builder encodeHeartbeat(PeerMessage.Heartbeat heartbeat) {
        PeerProto.Heartbeat.Builder builder =
                PeerProto.Heartbeat.newBuilder().setLeaving(heartbeat.leaving()).setMessageVersion(MESSAGE_VERSION);
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
        return new PeerMessage.PassEntries(new StorePosition(pass.getEra(), pass.getRevision()), entries);
    }

    private static PeerProto.AskState.Builder encodeRequest(PeerMessage.AskState request) {
        PeerProto.AskState.Builder builder = PeerProto.AskState.newBuilder()
                .setRevision(request.known().revision())
                .setEra(request.known().era())
                .setFollow(request.follow());
        Long sentNanos = request.sentNanos();
        if (sentNanos != null) {
            builder.setSentNanos(sentNanos);
        }
        return builder;
    }

    private static PeerMessage decodeRequest(PeerProto.AskState request) {
        return new PeerMessage.AskState(
                new StorePosition(request.getEra(), request.getRevision()),
                request.getFollow(),
                request.hasSentNanos() ? request.getSentNanos() : null);
    }

    private static PeerProto.StoreChanges.Builder encodeChanges(PeerMessage.StoreChanges message) {
        PeerProto.StoreChanges.Builder builder = PeerProto.StoreChanges.newBuilder()
                .setEra(message.after().era())
                .setAfter(message.after().revision())
                .setRevision(message.revision())
                .setAfterOutage(message.afterOutage())
                .setCatchUp(message.catchUp())
                .setReplyWanted(message.replyWanted());
        RequestEcho echo = message.echo();
        if (echo != null) {
            builder.setRequestSentNanos(echo.sentNanos()).setRequestHeldNanos(echo.heldNanos());
        }
        for (StoreItem change : message.changes()) {
            PeerProto.StoreItem.Builder encoded =
                    PeerProto.StoreItem.newBuilder().setKey(change.key()).setRevision(change.revision());
            byte[] value = change.value();
            if (value == null) {
                encoded.setRemoved(true);
            } else {
                encoded.setValue(ByteString.copyFrom(value));
            }
            builder.addChanges(encoded);
        }
        return builder;
    }

    private static PeerMessage decodeChanges(PeerProto.StoreChanges message) {
        List<StoreItem> changes = message.getChangesList().stream()
                .map(change -> new StoreItem(
                        change.getKey(),
                        change.getRevision(),
                        change.getRemoved() ? null : change.getValue().toByteArray()))
                .toList();
        return new PeerMessage.StoreChanges(
                new StorePosition(message.getEra(), message.getAfter()),
                message.getRevision(),
                changes,
                message.getAfterOutage(),
                message.getCatchUp(),
                message.hasRequestSentNanos()
                        ? new RequestEcho(message.getRequestSentNanos(), message.getRequestHeldNanos())
                        : null,
                message.getReplyWanted());
    }
}
