package org.fuchsiawharf.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import org.fuchsiawharf.core.util.FatalErrors;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * Handles the frames received on one connection to a peer, whichever side opened the connection.
 *
 * <p>On an accepted connection the peer sends its name in a {@code Hello} frame first, or asks for a tunnel; the
 * connection is closed if another frame is received first, or if it states a second name. Confined to the I/O thread.
 */
final class PeerConnection extends SimpleChannelInboundHandler<PeerProto.Frame> {
    private final PeerNetwork network;
    private final AcceptedConnections.@Nullable Accepted accepted;
    private @Nullable String peerName;

    /**
     * Creates a handler for one connection.
     *
     * @param network the network that receives the frames, not null
     * @param peerName the name of the peer if this instance opened the connection, null if the connection was accepted
     * @param accepted the account of an accepted connection, null if this instance opened the connection
     */
    PeerConnection(PeerNetwork network, @Nullable String peerName, AcceptedConnections.@Nullable Accepted accepted) {
        this.network = network;
        this.accepted = accepted;
        this.peerName = peerName;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, PeerProto.Frame frame) {
        if (accepted != null) {
            accepted.onFrame();
        }
        if (frame.getKindCase() == PeerProto.Frame.KindCase.HELLO) {
            PeerProto.Hello hello = frame.getHello();
            if (peerName != null && !peerName.equals(hello.getName())) {
                network.countDroppedFrame("renamed");
                context.close();
                return;
            }
            peerName = hello.getName();
            network.onHello(hello.getName(), hello.getMessageVersion(), context.channel());
            return;
        }
        String sender = peerName;
        if (sender == null && frame.hasOpenTunnel()) {
            if (accepted != null) {
                accepted.onTunnel();
            }
            network.onTunnelRequested(context, frame.getOpenTunnel());
        } else if (sender == null) {
            network.countDroppedFrame("unnamed");
            context.close();
        } else {
            network.onFrame(sender, frame);
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        String name = peerName;
        if (name != null) {
            network.onClosed(name, context.channel(), "connection closed");
        }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
        FatalErrors.check(cause);
        network.countDroppedFrame("broken");
        context.close();
    }
}
