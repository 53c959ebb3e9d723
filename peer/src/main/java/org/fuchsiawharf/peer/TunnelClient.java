package org.fuchsiawharf.peer;

import java.net.InetSocketAddress;
import java.util.function.Consumer;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import org.fuchsiawharf.core.member.Member;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;

/**
 * Opens tunnels to endpoints through peers.
 *
 * <p>Each tunnel is a connection of its own, so that the flow control of TCP bounds the bytes that a slow receiver leaves
 * waiting at the peer. Confined to the I/O thread.
 */
public final class TunnelClient {
    private final Bootstrap bootstrap;

    /** Receives the outcome of opening a tunnel: exactly one of the first three methods is called, once. */
    public interface Listener {
        /**
         * Called when the endpoint is connected.
         *
         * @param channel the channel that leads to the endpoint, not null
         */
        void onOpened(Channel channel);

        /**
         * Called when the peer refused the tunnel; nothing was sent to the endpoint.
         *
         * @param refusal the reason, not null
         */
        void onRefused(TunnelRefusal refusal);

        /**
         * Called when the peer did not respond; nothing was sent to the endpoint.
         *
         * @param detail the observed error, for logs, not null
         */
        void onFailed(String detail);

        /** Called once, when the connection to the peer has been closed or could not be established. */
        void onClosed();
    }

    /**
     * Creates a client.
     *
     * @param bootstrap opens connections to peers; must allow half-closed connections; not null
     */
    public TunnelClient(Bootstrap bootstrap) {
        this.bootstrap = bootstrap;
    }

    /**
     * Opens a tunnel.
     *
     * @param peer the peer to lead through, not null
     * @param request the request, not null
     * @param handlers adds the handlers that use the connection to the endpoint, not null
     * @param listener receives the outcome, not null
     */
    public void open(Member peer, TunnelRequest request, Consumer<Channel> handlers, Listener listener) {
        ChannelFuture future = bootstrap
                .clone()
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        PeerFrames.addTo(channel.pipeline());
                        channel.pipeline().addLast(new TunnelHandler(request, new ChannelListener(channel, listener)));
                        handlers.accept(channel);
                    }
                })
                .connect(new InetSocketAddress(peer.host(), peer.port()));
        future.addListener(done -> {
            if (!future.isSuccess()) {
                listener.onFailed(String.valueOf(future.cause().getMessage()));
                listener.onClosed();
            }
        });
    }

    private record ChannelListener(Channel channel, Listener listener) implements TunnelHandler.Listener {
        @Override
        public void onOpened() {
            listener.onOpened(channel);
        }

        @Override
        public void onRefused(TunnelRefusal refusal) {
            listener.onRefused(refusal);
        }

        @Override
        public void onFailed(String detail) {
            listener.onFailed(detail);
        }

        @Override
        public void onClosed() {
            listener.onClosed();
        }
    }
}
