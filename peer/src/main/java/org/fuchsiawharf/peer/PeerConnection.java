package org.fuchsiawharf.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * One connection to another instance, in either direction.
 *
 * <p>On an accepted connection the other side names itself first; what comes before that closes the connection.
 * Confined to the I/O thread.
 */
final class PeerConnection extends SimpleChannelInboundHandler<PeerProto.Frame> {
    private final PeerNetwork network;
    private @Nullable String peer;

    /**
     * Creates a connection.
     *
     * @param network the network, not null
     * @param peer the name of the instance that was dialled, null if the connection was accepted
     */
    PeerConnection(PeerNetwork network, @Nullable String peer) {
        this.network = network;
        this.peer = peer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerProto.Frame frame) {
        if (frame.getKindCase() == PeerProto.Frame.KindCase.HELLO) {
            peer = frame.getHello().getName();
            network.accepted(peer, context.channel());
            return;
        }
        String from = peer;
        if (from == null) {
            network.dropped("unnamed");
            context.close();
        } else {
            network.received(from, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        String other = peer;
        if (other != null) {
            network.closed(other, context.channel(), "the connection was closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        network.dropped("broken");
        context.close();
    }
}
