package org.fuchsiawharf.peer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelHandlerContext;
import org.fuchsiawharf.core.tunnel.TunnelRequest;

/**
 * Carries tunnels between peers and endpoints.
 *
 * <p>Confined to the I/O thread.
 */
public final class TunnelCarrier {
    private final Bootstrap bootstrap;
    private final TunnelAcceptor acceptor;

    /**
     * Creates a carrier.
     *
     * @param bootstrap opens connections to endpoints; must allow half-closed connections; not null
     * @param acceptor decides about the tunnels, not null
     */
    public TunnelCarrier(Bootstrap bootstrap, TunnelAcceptor acceptor) {
        this.bootstrap = bootstrap;
        this.acceptor = acceptor;
    }

    /** Takes over the connection of a peer that has asked for a tunnel. */
    void accept(ChannelHandlerContext context, TunnelRequest request) {
        CarriedTunnel tunnel = new CarriedTunnel(request, acceptor, bootstrap, context.channel());
        context.pipeline().replace(context.name(), null, tunnel);
        tunnel.start();
    }
}
