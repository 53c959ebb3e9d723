package org.fuchsiawharf.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * Handles the frames of one connection to a peer, in either direction.
 *
 * <p>On an accepted connection the peer sends its name in a {@code Hello} frame first; any other frame before it
 * closes the connection. Confined to the I/O thread.
 */
final class PeerConnection extends SimpleChannelInboundHandler<PeerProto.Frame> {
    private final PeerNetwork network;
    private @Nullable String peer;

    /**
     * Creates a handler for one connection.
     *
     * @param network the network that receives the frames, not null
     * @param peer the name of the peer if this instance opened the connection, null if the connection was accepted
     */
    PeerConnection(PeerNetwork network, @Nullable String peer) {
        this.network = network;
        this.peer = peer;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerProto.Frame frame) {
        if (frame.getKindCase() == PeerProto.Frame.KindCase.HELLO) {
            peer = frame.getHello().getName();
            network.onHello(peer, context.channel());
            return;
        }
        String sender = peer;
        if (sender == null) {
            network.countDroppedFrame("unnamed");
            context.close();
        } else {
            network.onFrame(sender, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        String name = peer;
        if (name != null) {
            network.onClosed(name, context.channel(), "connection closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        network.countDroppedFrame("broken");
        context.close();
    }
}
