package org.fuchsiawharf.peer;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

import com.google.protobuf.ByteString;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.channel.socket.ChannelInputShutdownEvent;
import io.netty.util.ReferenceCountUtil;
import org.fuchsiawharf.core.tunnel.EndpointNotice;
import org.fuchsiawharf.core.tunnel.TunnelRefusal;
import org.fuchsiawharf.core.tunnel.TunnelRequest;
import org.fuchsiawharf.peer.generated.PeerProto;
import org.jspecify.annotations.Nullable;

/**
 * One tunnel through a peer, at the instance that uses it.
 *
 * <p>The handlers behind this one see the bytes of the endpoint as on a connection of their own: the regular end of the
 * endpoint's side is an event, and any other end of the tunnel is a failure of the connection. Confined to the I/O
 * thread.
 */
public final class TunnelHandler extends ChannelDuplexHandler {
    /** Longer than the time that a peer takes to find that an endpoint does not answer. */
    private static final long DECISION_TIMEOUT_MILLIS = 300;

    /** Largest part of the data that one message carries; a frame has a maximum size. */
    private static final int MAX_MESSAGE_BYTES = 256 << 10;

    private final TunnelRequest request;
    private final Listener listener;
    private @Nullable ChannelHandlerContext channelContext;
    private boolean decided;
    private boolean endReceived;

    /** Receives the decision about a tunnel, exactly once, and its end. */
    interface Listener {
        /** Called when the peer is connected with the endpoint. */
        void onOpened();

        /** Called when the peer refused the tunnel; nothing was sent to the endpoint. */
        void onRefused(TunnelRefusal refusal);

        /** Called when the tunnel was closed before the peer has decided; nothing was sent to the endpoint. */
        void onFailed(String detail);

        /** Called when the connection to the peer has been closed. */
        void onClosed();
    }

    TunnelHandler(TunnelRequest request, Listener listener) {
        this.request = request;
        this.listener = listener;
    }

    /**
     * Tells the peer what the endpoint stated in a response.
     *
     * @param notice the notice, not null
     */
    public void sendNotice(EndpointNotice notice) {
        ChannelHandlerContext context = channelContext;
        if (context != null) {
            context.writeAndFlush(TunnelCodec.encode(notice));
        }
    }

    // -----------------------------------------------------------------------

    @Override
    public void channelActive(ChannelHandlerContext context) {
        channelContext = context;
        context.writeAndFlush(TunnelCodec.encode(request));
        context.executor().schedule(() -> closeIfUndecided(context), DECISION_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS);
        context.fireChannelActive();
    }

    private void closeIfUndecided(ChannelHandlerContext context) {
        if (!decided) {
            decided = true;
            listener.onFailed("the peer did not respond in time");
            context.close();
        }
    }

    @Override
    public void channelRead(ChannelHandlerContext context, Object message) {
        if (!(message instanceof PeerProto.Frame frame)) {
            ReferenceCountUtil.release(message);
        } else if (frame.hasTunnelData()) {
            ByteString data = frame.getTunnelData().getData();
            context.fireChannelRead(Unpooled.wrappedBuffer(data.asReadOnlyByteBuffer()));
        } else if (frame.hasTunnelEnd()) {
            endReceived = true;
            context.fireUserEventTriggered(ChannelInputShutdownEvent.INSTANCE);
        } else if (frame.hasTunnelOpened() && !decided) {
            decided = true;
            listener.onOpened();
        } else if (frame.hasTunnelRefused() && !decided) {
            decided = true;
            listener.onRefused(TunnelCodec.decode(frame.getTunnelRefused()));
            context.close();
        }
    }

    @Override
    public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
        if (message instanceof ByteBuf bytes) {
            try {
                while (bytes.readableBytes() > MAX_MESSAGE_BYTES) {
                    context.write(TunnelCodec.encode(bytes.readSlice(MAX_MESSAGE_BYTES)));
                }
                context.write(TunnelCodec.encode(bytes), promise);
            } finally {
                bytes.release();
            }
        } else {
            context.write(message, promise);
        }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
        if (!(event instanceof ChannelInputShutdownEvent)) {
            context.fireUserEventTriggered(event);
        } else if (!endReceived) {
            context.fireExceptionCaught(new IOException("the peer closed the tunnel to the endpoint"));
            context.close();
        }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
        if (!decided) {
            decided = true;
            listener.onFailed("the peer closed the connection");
        }
        listener.onClosed();
        context.fireChannelInactive();
    }
}
