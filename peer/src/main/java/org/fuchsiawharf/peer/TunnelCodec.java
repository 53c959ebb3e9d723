package org.fuchsiawharf.peer;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import org.fuchsiawharf.core.tunnel.EndpointNotice;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.peer.generated.PeerProto;

/**
 * Encodes the messages of tunnels and decodes their values.
 *
 * <p>Stateless and thread-safe.
 */
final class TunnelCodec {
    private static final long NANOS_PER_MICRO = 1_000;

    /** The reasons of {@code TunnelRefused}, as listed in peer.proto. */
    private static final int UNREACHABLE = 1;

    private static final int CUT_OFF = 2;
    private static final int GONE = 3;
    private static final int BUSY = 4;

    private TunnelCodec() {}

    static PeerProto.Frame encode(TunnelRequest request) {
        return PeerProto.Frame.newBuilder()
                .setOpenTunnel(PeerProto.OpenTunnel.newBuilder()
                        .setSender(request.sender())
                        .setEndpoint(request.endpoint())
                        .setRequestId(request.requestId()))
                .build();
    }

    /** Encodes bytes, which are copied. */
    static PeerProto.Frame encode(ByteBuf bytes) {
        return PeerProto.Frame.newBuilder()
                .setTunnelData(PeerProto.TunnelData.newBuilder().setData(ByteString.copyFrom(bytes.nioBuffer())))
                .build();
    }

    static PeerProto.Frame encode(EndpointNotice notice) {
        return PeerProto.Frame.newBuilder()
                .setEndpointNotice(PeerProto.EndpointNotice.newBuilder()
                        .setLeaving(notice.leaving())
                        .setPauseMicros(notice.pauseNanos() / NANOS_PER_MICRO))
                .build();
    }

    static EndpointNotice decode(PeerProto.EndpointNotice notice) {
        return new EndpointNotice(notice.getLeaving(), notice.getPauseMicros() * NANOS_PER_MICRO);
    }

    static PeerProto.Frame encode(TunnelRefusal refusal) {
        int reason =
                switch (refusal) {
                    case UNREACHABLE -> UNREACHABLE;
                    case CUT_OFF -> CUT_OFF;
                    case GONE -> GONE;
                    case BUSY -> BUSY;
                };
        return PeerProto.Frame.newBuilder()
                .setTunnelRefused(PeerProto.TunnelRefused.newBuilder().setReason(reason))
                .build();
    }

    /** Decodes a reason; one that this version does not know is taken for a busy peer. */
    static TunnelRefusal decode(PeerProto.TunnelRefused refused) {
        return switch (refused.getReason()) {
            case UNREACHABLE -> TunnelRefusal.UNREACHABLE;
            case CUT_OFF -> TunnelRefusal.CUT_OFF;
            case GONE -> TunnelRefusal.GONE;
            default -> TunnelRefusal.BUSY;
        };
    }
}
